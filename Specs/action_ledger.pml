// The action ledger: a chain of keys, each created once by compare-and-swap. A
// new holder reads the chain and appends an epoch record before it answers. All
// holders may be asked to run the same action, at any time and repeatedly; calls
// to the service may be delayed and lost, and no clock is used. See
// docs/design/specifications.md for what the model omits.
//
// RUN: -DHOLDERS=4
// VARIANT: SKIP_EPOCH_RECORD
// VARIANT: SEND_BEFORE_RECORD
// VARIANT: IGNORE_NEWER_EPOCH

#define SEQUENCES 9       /* Each holder writes two records at most. */

/* Phases of a holder. */
#define IDLE 0
#define READING 1
#define READY 2
#define FENCED 3

/* A record encodes its kind and its writer; 0 if it is absent. */
#define NO_RECORD 0
#define epoch_of(h) (1 + 2 * (h))
#define started_by(h) (2 + 2 * (h))
#define is_started(r) (r != NO_RECORD && r % 2 == 0)
#ifdef IGNORE_NEWER_EPOCH
#define is_newer(r, h) false
#else
#define is_newer(r, h) ((r - 1) / 2 > h)
#endif

/* States of a create call. */
#define SENT 1
#define CREATED 2
#define CONFLICT 3

byte chain[SEQUENCES];
byte phase[HOLDERS];
byte next[HOLDERS];       /* The next sequence number to read or create. */
bool started[HOLDERS];    /* The holder's table lists the action. */
byte record[HOLDERS];     /* The record that it is creating, or NO_RECORD. */
byte call[HOLDERS];       /* State of its create call; 0 if none is pending. */
byte runs = 0;

inline run_action(h) {
  runs++;
  assert(runs <= 1);
  /* A later holder that answers must have the action in its table. */
  other = h + 1;
  do
  :: other < HOLDERS ->
    assert(phase[other] != READY || started[other]);
    other++
  :: else -> break
  od;
  other = 0
}

inline apply_created(h) {
  if
  :: is_started(record[h]) ->
    started[h] = true;
#ifndef SEND_BEFORE_RECORD
    run_action(h)
#endif
  :: else -> phase[h] = READY
  fi;
  next[h]++;
  record[h] = NO_RECORD
}

/* A conflict on a started record means that a newer holder has written: this
   holder is fenced. After a conflict on an epoch record it reads on. */
inline apply_conflict(h) {
  if
  :: is_started(record[h]) -> phase[h] = FENCED
  :: else -> phase[h] = READING
  fi;
  record[h] = NO_RECORD
}

proctype Holder(byte h) {
  byte other = 0;
end:
  do
  /* The claim moves to the next holder; the previous one may not notice. */
  :: atomic { phase[h] == IDLE && (h == 0 || phase[h - 1] != IDLE) ->
       phase[h] = READING }
  :: atomic { phase[h] == READING && record[h] == NO_RECORD &&
       chain[next[h]] != NO_RECORD ->
       if
       :: is_newer(chain[next[h]], h) -> phase[h] = FENCED
       :: else ->
         if
         :: is_started(chain[next[h]]) -> started[h] = true
         :: else
         fi;
         next[h]++
       fi }
  :: atomic { phase[h] == READING && record[h] == NO_RECORD &&
       chain[next[h]] == NO_RECORD ->
#ifdef SKIP_EPOCH_RECORD
       phase[h] = READY
#else
       record[h] = epoch_of(h); call[h] = SENT
#endif
     }
  /* A request to run the action; refused if the table lists it. */
  :: atomic { phase[h] == READY && record[h] == NO_RECORD && !started[h] ->
       record[h] = started_by(h); call[h] = SENT;
#ifdef SEND_BEFORE_RECORD
       run_action(h)
#endif
     }
  /* The reply arrives or is lost. */
  :: atomic { call[h] == CREATED -> call[h] = 0; apply_created(h) }
  :: atomic { call[h] == CONFLICT -> call[h] = 0; apply_conflict(h) }
  :: atomic { call[h] == CREATED || call[h] == CONFLICT -> call[h] = 0 }
  /* The result is unknown: the holder reads whose record the key contains, or
     repeats the call. */
  :: atomic { record[h] != NO_RECORD && call[h] <= SENT &&
       chain[next[h]] != NO_RECORD ->
       call[h] = 0;
       if
       :: chain[next[h]] == record[h] -> apply_created(h)
       :: else -> apply_conflict(h)
       fi }
  :: atomic { record[h] != NO_RECORD && call[h] == 0 -> call[h] = SENT }
  od
}

/* The service executes a create call. */
inline execute_create(h) {
  if
  :: chain[next[h]] == NO_RECORD -> chain[next[h]] = record[h]; call[h] = CREATED
  :: chain[next[h]] == record[h] -> call[h] = CREATED
  :: else -> call[h] = CONFLICT
  fi
}

proctype Network(byte h) {
end:
  do
  :: atomic { call[h] == SENT && record[h] != NO_RECORD -> execute_create(h) }
  /* The call is lost. */
  :: atomic { call[h] == SENT -> call[h] = 0 }
  od
}

init {
  atomic {
    byte h;
    for (h : 0 .. HOLDERS - 1) {
      run Holder(h);
      run Network(h)
    }
  }
}
