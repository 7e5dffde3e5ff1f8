// The fleet state feed: hosts receive the key-value service's changes through a
// relay. The relay polls the service and forwards changes as spans of
// revisions, which may be lost. Its reports contain its revision and the age of
// its state, and identify the last report of the host that it has read. A host
// that claims to have every change up to a given time must have all of them.
//
// RUN: -DCHANGES=2 -DTIMES=5
// VARIANT: AGE_FROM_REPLY
// VARIANT: AGE_FROM_ARRIVAL
// VARIANT: IGNORE_REVISION
// VARIANT: APPLY_GAPS

/* CHANGES: number of changes in a run; TIMES: ticks in a run. */
#define NONE 255

byte now = 1;

/* The service: revision n was written at written_at[n]. */
byte revision = 0;
byte written_at[CHANGES + 1];

/* The relay. The service evaluates a poll between its request and its reply. */
byte relay_revision = 0;
byte relay_as_of = 0;
byte poll_sent = NONE;
byte poll_result = NONE;

/* In flight from the relay: one span and one report. */
bool span_in_flight = false;
byte span_from = 0;
byte span_to = 0;
bool report_in_flight = false;
byte report_revision = 0;
byte report_age = 0;

/* The newest revision that the relay assumes the host to have. */
byte forwarded_revision = 0;

/* The host, and its own report to the relay. */
byte host_revision = 0;
byte host_as_of = 0;
bool has_change[CHANGES + 1];
byte own_report_sent = NONE;
bool own_report_read = false;

inline check_property() {
  byte r;
  r = 1;
  do
  :: r <= revision ->
    /* A change in the same tick may have followed the send of the poll. */
    assert(has_change[r] || written_at[r] >= host_as_of);
    r++
  :: else -> break
  od;
  r = 0
}

inline apply_span(from, to) {
  byte n;
  n = from + 1;
  do
  :: n <= to -> has_change[n] = true; n++
  :: else -> break
  od;
  n = 0;
  if
  :: to > host_revision -> host_revision = to
  :: else
  fi
}

proctype Clock() {
end:
  do
  :: atomic { now < TIMES -> now++ }
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
       poll_result = revision }
  od
}

proctype Relay() {
end:
  do
  :: atomic { poll_sent == NONE -> poll_sent = now }
  :: atomic { poll_result != NONE ->
       relay_revision = poll_result;
#ifdef AGE_FROM_REPLY
       relay_as_of = now;
#else
       relay_as_of = poll_sent;
#endif
       poll_sent = NONE; poll_result = NONE }
  :: atomic { !span_in_flight && forwarded_revision < relay_revision ->
       span_in_flight = true;
       span_from = forwarded_revision; span_to = relay_revision;
       forwarded_revision = relay_revision }
  /* The connection is reopened; the span in flight is lost. */
  :: atomic { span_in_flight ->
       span_in_flight = false; span_from = 0; span_to = 0 }
  /* The host's report contains the revision that the host has. */
  :: atomic { forwarded_revision > host_revision && !span_in_flight ->
       forwarded_revision = host_revision }
  :: atomic { own_report_sent != NONE && !own_report_read ->
       own_report_read = true }
  :: atomic { own_report_read && !report_in_flight && relay_as_of > 0 ->
       report_in_flight = true;
       report_revision = relay_revision;
       report_age = now - relay_as_of }
  od
}

proctype Host() {
end:
  do
  :: atomic { own_report_sent == NONE -> own_report_sent = now }
  :: atomic { span_in_flight ->
#ifdef APPLY_GAPS
       apply_span(span_from, span_to);
#else
       if
       :: span_from <= host_revision -> apply_span(span_from, span_to)
       :: else
       fi;
#endif
       span_in_flight = false; span_from = 0; span_to = 0 }
  :: atomic { report_in_flight ->
       if
#ifdef IGNORE_REVISION
       :: true ->
#else
       :: report_revision <= host_revision ->
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
       report_in_flight = false; report_revision = 0; report_age = 0;
       own_report_sent = NONE; own_report_read = false;
       check_property() }
  /* The host's own watch, used when the relay sends nothing. */
  :: atomic { host_revision < revision ->
       apply_span(host_revision, revision) }
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
