; A short day for CI.
(day
  (length 9 s)
  (dispatchers 2)
  (nodes 6)
  (rate 30)
  (life 2 s)
  (troubles
    (kill-nodes (at 1 s) (for 2 s))
    (lose-answers (at 2 s) (for 1 s))
    (drain-nodes (at 3 s) (for 3 s))
    (pause-dispatchers (at 4 s) (for 1 s))
    (cut-links (at 5 s) (for 1 s))
    (kill-dispatchers (at 6 s) (for 1 s))))
