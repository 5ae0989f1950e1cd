; All machines taken out for work once, at full size: 138 of 140, as many at a time as a tenth, while a third of the dispatchers
; is killed and comes back. Two keepers stay.
(day
  (length 60 s) (dispatchers 300) (nodes 140) (rate 100) (life 3 s)
  (maintenance (at 5 s) (at-a-time 14) (by-hall 10) (takes 1 s))
  (troubles
    (kill-dispatchers (at 20 s) (for 2 s) (many 100))))
