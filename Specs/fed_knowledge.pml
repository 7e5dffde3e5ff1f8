// The fleet state feed: hosts receive the key-value service's changes through a
// relay. The relay polls the service and forwards changes as spans of
// revisions, which may be lost. Its reports contain its revision and the age of
// its state, and identify the last report of the host that it has read. A host
// that claims to have every change up to a given time must have all of them.
//
// Once in a run the service comes back from an older copy: its last changes are
// lost, its revisions go back and are given out again, and its era rises. Every
// revision is a pair of an era and a number, ordered by the era first. A host
// that claims a time after the restore must also have no lost change.
//
// RUN: -DCHANGES=2 -DTIMES=5 -DRESTORED_TIMES=3
// VARIANT: AGE_FROM_REPLY
// VARIANT: AGE_FROM_ARRIVAL
// VARIANT: IGNORE_REVISION
// VARIANT: APPLY_GAPS
// VARIANT: PROOF_BY_BARE_REVISION
// VARIANT: SPAN_BY_BARE_REVISION
// VARIANT: WATCH_FROM_OLD_ERA
// VARIANT: LOG_KEPT_OVER_RESTORE
// VARIANT: READ_KEEPS_LOST

/* CHANGES: number of changes in an era; TIMES and RESTORED_TIMES: ticks in a
   run without and with a restore. */
#define NONE 255

/* Order of the revisions (e1, n1) and (e2, n2). */
#define AT_MOST(e1, n1, e2, n2) (e1 < e2 || (e1 == e2 && n1 <= n2))

byte now = 1;

/* The service: revision n was written at written_at[n]. In era 1, those up to
   `kept` are of era 0, and those of era 0 after it are lost. */
bit era = 0;
byte revision = 0;
byte written_at[CHANGES + 1];
byte kept = 0;
byte restored_at = NONE;

/* The relay. The service evaluates a poll between its request and its reply.
   Its log has all changes of its era after log_start. */
bit relay_era = 0;
byte relay_revision = 0;
byte relay_as_of = 0;
byte log_start = 0;
byte poll_sent = NONE;
byte poll_result = NONE;
bit poll_era = 0;

/* In flight from the relay: one span and one report. */
bool span_in_flight = false;
bit span_from_era = 0;
byte span_from = 0;
bit span_era = 0;
byte span_to = 0;
bool report_in_flight = false;
bit report_era = 0;
byte report_revision = 0;
byte report_age = 0;

/* The newest revision that the relay assumes the host to have. */
bit forwarded_era = 0;
byte forwarded_revision = 0;

/* The host, and its own report to the relay. It has the changes of era 0 in
   has_old, and those of era 1 in has_new. */
bit host_era = 0;
byte host_revision = 0;
byte host_as_of = 0;
bool has_old[CHANGES + 1];
bool has_new[CHANGES + 1];
byte own_report_sent = NONE;
bool own_report_read = false;

/* The times of changes that the host has, and of a restore that it claims to
   have seen, are forgotten: they have no effect any more, and equal situations
   become one state. */
inline check_property() {
  byte r;
  bool held;
  r = 1;
  do
  :: r <= CHANGES ->
    held = (era == 1 && r > kept -> has_new[r] : has_old[r]);
    if
    :: r <= revision && held -> written_at[r] = 0
    :: r <= revision && !held ->
      /* A change in the same tick may have followed the send of the poll. */
      assert(written_at[r] >= host_as_of)
    :: else
    fi;
    assert(!(era == 1 && r > kept && has_old[r] && host_as_of > restored_at));
    r++
  :: else -> break
  od;
  r = 0; held = false;
  if
  :: era == 1 && host_as_of > restored_at -> restored_at = 0
  :: else
  fi
}

/* Applies the changes of era e after `from`, up to `to`. */
inline apply(e, from, to) {
  byte n;
  n = from + 1;
  do
  :: n <= to ->
    if
    :: e == 1 && n > kept -> has_new[n] = true
    :: else -> has_old[n] = true
    fi;
    n++
  :: else -> break
  od;
  n = 0;
  if
  :: to > host_revision -> host_revision = to
  :: else
  fi
}

/* Applies what the span has after the host's revision. */
inline apply_span() {
#ifdef SPAN_BY_BARE_REVISION
  apply(span_era, host_revision, span_to)
#else
  if
  :: span_era > host_era ->
    apply(span_era, span_from, span_to);
    host_era = span_era; host_revision = span_to
  :: span_era == host_era -> apply(span_era, span_from, span_to)
  :: else
  fi
#endif
}

inline clear_span() {
  span_in_flight = false;
  span_from_era = 0; span_from = 0; span_era = 0; span_to = 0
}

/* The host reads everything; this replaces what it has. */
inline read_all() {
  byte m;
  m = 1;
  do
  :: m <= CHANGES ->
#ifdef READ_KEEPS_LOST
    has_old[m] = (has_old[m] || (m <= revision && (era == 0 || m <= kept)));
#else
    has_old[m] = (m <= revision && (era == 0 || m <= kept));
#endif
    has_new[m] = (m <= revision && era == 1 && m > kept);
    m++
  :: else -> break
  od;
  m = 0;
  host_era = era;
  host_revision = revision
}

proctype Clock() {
end:
  do
  :: atomic { now < (era == 1 -> RESTORED_TIMES : TIMES) -> now++ }
  od
}

proctype Service() {
end:
  do
  :: atomic { revision < CHANGES ->
       revision++;
       written_at[revision] = now;
       check_property() }
  :: atomic { poll_sent != NONE && poll_result == NONE ->
       poll_result = revision; poll_era = era }
  /* The service comes back from a copy without its last changes. */
  :: atomic { era == 0 && revision > 0 && now <= RESTORED_TIMES ->
       kept = revision;
       do
       :: revision > 0 -> written_at[revision] = 0; revision--
       :: revision < kept -> break
       od;
       kept = revision;
       era = 1;
       restored_at = now;
       check_property() }
  od
}

proctype Relay() {
end:
  do
  :: atomic { poll_sent == NONE -> poll_sent = now }
  /* A poll whose answer is of a later era becomes a read of everything. */
  :: atomic { poll_result != NONE ->
       if
       :: poll_era > relay_era ->
         log_start = poll_result;
         relay_era = poll_era
       :: else
       fi;
       relay_revision = poll_result;
#ifdef AGE_FROM_REPLY
       relay_as_of = now;
#else
       relay_as_of = poll_sent;
#endif
       poll_sent = NONE; poll_result = NONE; poll_era = 0 }
  :: atomic { !span_in_flight &&
#ifdef LOG_KEPT_OVER_RESTORE
              AT_MOST(forwarded_era, forwarded_revision + 1, relay_era,
                      relay_revision) ->
#else
              forwarded_era == relay_era && forwarded_revision >= log_start &&
              forwarded_revision < relay_revision ->
#endif
       span_in_flight = true;
       span_from_era = forwarded_era; span_from = forwarded_revision;
       span_era = relay_era; span_to = relay_revision;
       forwarded_era = relay_era; forwarded_revision = relay_revision }
  /* The connection is reopened; the span in flight is lost. */
  :: atomic { span_in_flight -> clear_span() }
  /* The host's report contains the revision that the host has. */
  :: atomic { !span_in_flight && (forwarded_era != host_era ||
                                  forwarded_revision > host_revision) ->
       forwarded_era = host_era; forwarded_revision = host_revision }
  :: atomic { own_report_sent != NONE && !own_report_read ->
       own_report_read = true }
  :: atomic { own_report_read && !report_in_flight && relay_as_of > 0 ->
       report_in_flight = true;
       report_era = relay_era;
       report_revision = relay_revision;
       report_age = now - relay_as_of }
  od
}

proctype Host() {
end:
  do
  :: atomic { own_report_sent == NONE -> own_report_sent = now }
  :: atomic { span_in_flight ->
       if
#ifdef APPLY_GAPS
       :: true -> apply_span()
#else
#ifdef SPAN_BY_BARE_REVISION
       :: span_from <= host_revision -> apply_span()
#else
       :: AT_MOST(span_from_era, span_from, host_era, host_revision) ->
         apply_span()
#endif
       :: else
#endif
       fi;
       clear_span();
       check_property() }
  :: atomic { report_in_flight ->
       if
#ifdef IGNORE_REVISION
       :: true ->
#else
#ifdef PROOF_BY_BARE_REVISION
       :: report_revision <= host_revision ->
#else
       :: AT_MOST(report_era, report_revision, host_era, host_revision) ->
#endif
#endif
#ifdef AGE_FROM_ARRIVAL
         if
         :: now >= report_age && now - report_age > host_as_of ->
           host_as_of = now - report_age
         :: else
         fi
#else
         if
         :: own_report_sent >= report_age &&
            own_report_sent - report_age > host_as_of ->
           host_as_of = own_report_sent - report_age
         :: else
         fi
#endif
#ifndef IGNORE_REVISION
       :: else
#endif
       fi;
       report_in_flight = false;
       report_era = 0; report_revision = 0; report_age = 0;
       own_report_sent = NONE; own_report_read = false;
       check_property() }
  /* The host's own watch, used when the relay sends nothing. */
  :: atomic { host_era == era && host_revision < revision ->
       apply(era, host_revision, revision);
       check_property() }
  /* The watch's answer, or a report, is of a later era. */
  :: atomic { host_era < era ->
#ifdef WATCH_FROM_OLD_ERA
       /* The service refuses a revision that it has not given out yet. */
       if
       :: host_revision <= revision ->
         apply(era, host_revision, revision);
         host_era = era
       :: else -> read_all()
       fi;
#else
       read_all();
#endif
       host_as_of = now;
       check_property() }
  od
}

init {
  atomic {
    run Clock();
    run Service();
    run Relay();
    run Host()
  }
}
