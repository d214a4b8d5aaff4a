; An example of an operators' policy: stairstage serve --config FILE --policy THIS
; Every number is a ratio to a value of the platform's file. These are the defaults.
(policy
  (leader-lease 0.8)   ; the leadership lease, in heartbeat intervals (report_s)
  (silence 2.5)        ; heartbeat timeout before a machine is returned, in heartbeat intervals
  (idle 0.5)           ; idle time before a machine is returned, in boot times of its type
  (warm 1.0)           ; spare capacity for services: standard deviations above expected arrivals
  (boot-patience 2.5)  ; the boot timeout of a machine, in boot times of its type
  (spot yes))          ; whether to rent spot machines, which the cloud may reclaim
