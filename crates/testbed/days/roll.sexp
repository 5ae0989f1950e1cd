; A roll of a hundred copies by twenty dispatchers, a third of which is killed and started again meanwhile.
(day
  (length 40 s)
  (dispatchers 20)
  (nodes 12)
  (rate 20)
  (life 2 s)
  (copies 100)
  (roll (at 4 s) (unready-most 10) (ready-for 1 s))
  (troubles
    (kill-dispatchers (at 6 s) (for 1 s) (many 3))
    (kill-dispatchers (at 9 s) (for 2 s) (many 4))
    (drain-nodes (at 12 s) (for 20 s))))
