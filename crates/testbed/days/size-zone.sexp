; The same size, and a zone is lost: some 186 nodes die with all that runs there, and come back cold at once.
(day
  (length 40 s) (dispatchers 20) (hollow (many 16) (a-process 4)) (nodes 1300) (zones 7) (rate 330) (life 13 s)
  (troubles
    (lose-zone (at 18 s) (for 8 s))))
