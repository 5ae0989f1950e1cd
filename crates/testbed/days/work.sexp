; Maintenance of all machines once, at full size: 138 of 140, up to a tenth of them at a time, while
; a third of the dispatchers are killed and restarted. Two quorum members stay in service.
(day
  (length 60 s) (dispatchers 300) (nodes 140) (rate 100) (life 3 s)
  (maintenance (at 5 s) (at-a-time 14) (by-hall 10) (takes 1 s))
  (troubles
    (kill-dispatchers (at 20 s) (for 2 s) (many 100))))
