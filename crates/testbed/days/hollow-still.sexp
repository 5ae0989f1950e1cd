; A hollow process with fifty dispatchers in it stands still, and so does the real one beside it, each in its turn.
(day
  (length 20 s) (dispatchers 51) (hollow (many 50)) (nodes 60) (rate 100) (life 3 s)
  (troubles
    (pause-dispatchers (at 4 s) (for 2 s))
    (pause-dispatchers (at 8 s) (for 2 s))
    (pause-dispatchers (at 12 s) (for 2 s))))
