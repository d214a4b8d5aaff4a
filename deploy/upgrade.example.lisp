; An example of how upgrades are staged: stairstage serve --config FILE --upgrade THIS
; Without such a file upgrades are not staged. See docs/upgrades.md.
(upgrade
  (finalize by-hand)   ; or automatic: once all controllers have run for the soak time, in a window
  (soak 10)            ; how long each must have run before that, in cancel_s
  (member-lease 5)     ; the lease of a controller's record, in report intervals
  ; When the version may rise by itself: days on which the window opens, local hours, time zone.
  ; One that closes no later than it opens closes on the next day. Without windows, at any time.
  (window monday thursday "20:00" "04:00" "Indian/Mauritius"))
