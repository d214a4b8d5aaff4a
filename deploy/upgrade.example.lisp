; An example of an upgrade policy: stairstage serve --config FILE --upgrade THIS
; Without this file, upgrades are not staged. See docs/upgrades.md.
(upgrade
  (finalize by-hand)   ; or automatic: in a window, once all controllers have run for the soak time
  (soak 10)            ; the soak time of each controller, in cancel_s
  (member-lease 5)     ; the lease of a member record, in heartbeat intervals (report_s)
  ; A window of automatic finalizing: first and last day on which it opens, local hours, time zone.
  ; It closes on the next day if it closes no later than it opens. Without windows: at any time.
  (window monday thursday "20:00" "04:00" "Indian/Mauritius"))
