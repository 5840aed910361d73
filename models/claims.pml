/* Claims of one request that must not be repeated, sent through two entry instances.
 *
 * Steps and the code that they model:
 *   Claim    claimer/claimer.go Claim, grant, resolveRepeat; entry forwarder/once.go forwardOnce
 *   Send     forwarder/attempt.go attempt (the instance may be suspended for any time before it)
 *   Settle   claimer/claimer.go Settle, settle
 *   Forget   claimer/claimer.go evictExpired, with the refusal of keys of that age
 *
 * Property: the request runs at most once (runs <= 1), and a result "not run" is always correct.
 * Mutants: REGRANT grants a claim again after a time-out; FORGETOPEN evicts claims without refusing old keys.
 */
#define E 2
#define FREE 0
#define PROGRESS 1
#define DONE 2
#define UNKNOWN 3

byte state = FREE;
byte holder = 9;
byte runs = 0;
bool old = false;          /* the key is older than the retention period */
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
        :: runs++; assert(runs <= 1);           /* Send: it ran, with one of three results for the claim */
           if
           :: d_step { state == PROGRESS && holder == me -> state = DONE }
           :: d_step { state == PROGRESS && holder == me -> state = UNKNOWN }
           :: skip                              /* the instance crashes; the claim stays in progress */
           fi
        :: d_step {                             /* nothing was sent: settled as not run, the key is free */
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
