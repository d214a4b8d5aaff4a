; An example of the operators' own settings: stairstage serve --config FILE --policy THIS
; Every figure is a ratio to one of the platform's settings. These are the defaults.
(policy
  (leader-lease 0.8)   ; the leader's lease, in report intervals
  (silence 2.5)        ; a machine is returned after so many report intervals of silence
  (idle 0.5)           ; a machine may stand idle for so many boot times of its type
  (warm 1.0)           ; room kept for services: standard deviations above expected arrivals
  (boot-patience 2.5)  ; a machine may take so many boot times to come up
  (spot yes))          ; whether to rent machines that the cloud can take back
