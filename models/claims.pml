/* Claims of one request that must not repeat, tried through two entry instances.
 *
 * Steps and the code they stand for:
 *   Claim    claimer/claimer.go Claim, grant, repeat; entry forwarder/once.go carryOnce
 *   Send     forwarder/attempt.go attempt (the instance may freeze for any time before it)
 *   Settle   claimer/claimer.go Settle, settle
 *   Forget   claimer/claimer.go forget, with the refusal of keys that old
 *
 * Property: the request runs at most once (runs <= 1), and whoever is told that it was not run is right.
 * Mutants: REGRANT grants a claim anew after a timeout; FORGETOPEN forgets without refusing old keys.
 */
#define E 2
#define FREE 0
#define PROGRESS 1
#define DONE 2
#define UNKNOWN 3

byte state = FREE;
byte holder = 9;
byte runs = 0;
bool old = false;          /* the key is past the retention */
byte tries[E];

active [E] proctype Entry() {
  byte me = _pid; bool granted;
  do
  :: tries[me] < 3 ->
     tries[me]++;
     granted = false;
     d_step {                                   /* Claim */
       if
#ifdef FORGETOPEN
       :: false
#else
       :: old -> skip                           /* refused as expired */
#endif
       :: else ->
          if
          :: state == FREE -> state = PROGRESS; holder = me; granted = true
#ifdef REGRANT
          :: state == PROGRESS && holder != me -> holder = me; granted = true
#endif
          :: else -> skip
          fi
       fi
     }
     if
     :: granted ->
        if
        :: runs++; assert(runs <= 1);           /* Send: it ran, and one of three things is known of it */
           if
           :: d_step { state == PROGRESS && holder == me -> state = DONE }
           :: d_step { state == PROGRESS && holder == me -> state = UNKNOWN }
           :: skip                              /* the instance dies; the claim stays in progress */
           fi
        :: d_step {                             /* nothing was sent: told not run, and the key is free */
             if
             :: state == PROGRESS && holder == me -> state = FREE; holder = 9
             :: else -> skip
             fi
           }
        fi
     :: else -> skip
     fi
  :: else -> break
  od
}

active proctype Ledger() {
  if
  :: d_step { old = true; state = FREE }        /* Forget */
  :: skip
  fi
}
