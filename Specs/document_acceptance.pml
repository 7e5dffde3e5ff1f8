// Acceptance of documents: a revision is accepted once it is written to the
// key-value service by compare-and-swap and a majority of the member view has
// applied it. A host serves only while it has recently heard from the service
// or from a majority. Any host may lose contact with the service and with the
// other hosts at any time, and may restart. Timers are stored as remaining time,
// so that runs are unbounded. See docs/design/specifications.md for what the
// model omits.
//
// RUN: -DLIMIT=2 -DREVISIONS=1
// VARIANT: ACCEPT_WITHOUT_MAJORITY
// VARIANT: SERVE_WITHOUT_FRESHNESS
// VARIANT: RESTARTED_HOST_COUNTS

/* LIMIT: how long a host may serve after a read of the service or a heartbeat
   from another member.
   REVISIONS: number of revisions written. */
#define HOSTS 3
#define MAJORITY 2
#define SLOTS 4  /* REVISIONS + 1, at most. */

byte stored = 0;             /* The newest revision in the service. */
bool accepted[SLOTS];
byte grace_left[SLOTS];      /* Time until an accepted one must be in force. */

typedef Host {
  bool joined;               /* Has read the service since its start. */
  byte applied;
  byte read_revision;        /* The newest revision that a read returned. */
  byte read_left;            /* Time for which the last read is valid. */
  byte heartbeat_revision;   /* The newest revision in a heartbeat. */
  byte heartbeat_left;       /* Time for which the last heartbeat is valid. */
  bool acknowledged[SLOTS];
}
Host hosts[HOSTS];

#ifdef SERVE_WITHOUT_FRESHNESS
#define is_fresh(h) true
#else
/* With three members, a host and one other are a majority. */
#define is_fresh(h) \
  ((hosts[h].read_left > 0 && hosts[h].applied >= hosts[h].read_revision) || \
   (hosts[h].heartbeat_left > 0 && \
    hosts[h].applied >= hosts[h].heartbeat_revision))
#endif
#define serves(h) (hosts[h].joined && is_fresh(h))
#define in_force(h, r) (!serves(h) || hosts[h].applied >= r)

inline count_down(timer) {
  if
  :: timer > 0 -> timer--
  :: else
  fi
}

inline raise_to(value, other) {
  if
  :: value < other -> value = other
  :: else
  fi
}

inline check_property() {
  for (r : 1 .. REVISIONS) {
    assert(!accepted[r] || grace_left[r] > 0 ||
      (in_force(0, r) && in_force(1, r) && in_force(2, r)))
  }
}

inline read_service(h) {
  raise_to(hosts[h].read_revision, stored);
  hosts[h].read_left = LIMIT;
  /* The first read after a start is applied before the host joins. */
  if
  :: !hosts[h].joined ->
    hosts[h].joined = true;
    hosts[h].applied = stored
  :: else
  fi
}

inline restart(h) {
#ifndef RESTARTED_HOST_COUNTS
  hosts[h].joined = false;
#endif
  hosts[h].applied = 0;
  hosts[h].read_revision = 0;
  hosts[h].read_left = 0;
  hosts[h].heartbeat_revision = 0;
  hosts[h].heartbeat_left = 0
}

proctype Member(byte h; byte left; byte right) {
  byte r = 0;
end:
  do
  :: atomic { hosts[h].read_left < LIMIT || hosts[h].read_revision < stored ->
       read_service(h); check_property(); r = 0 }
  /* A heartbeat to one other member and its reply. */
  :: atomic { hosts[h].joined && hosts[left].joined ->
       raise_to(hosts[h].heartbeat_revision, hosts[left].applied);
       hosts[h].heartbeat_left = LIMIT; check_property(); r = 0 }
  :: atomic { hosts[h].joined && hosts[right].joined ->
       raise_to(hosts[h].heartbeat_revision, hosts[right].applied);
       hosts[h].heartbeat_left = LIMIT; check_property(); r = 0 }
  :: atomic { hosts[h].applied < hosts[h].read_revision ->
       hosts[h].applied = hosts[h].read_revision; check_property(); r = 0 }
  :: atomic { hosts[h].applied < hosts[h].heartbeat_revision ->
       hosts[h].applied = hosts[h].heartbeat_revision; check_property(); r = 0 }
  /* The publisher of the revision receives the acknowledgement. */
  :: atomic { hosts[h].joined && hosts[h].applied > 0 &&
       !hosts[h].acknowledged[hosts[h].applied] ->
       hosts[h].acknowledged[hosts[h].applied] = true }
  :: atomic { hosts[h].applied > 0 -> restart(h) }
  od
}

#ifdef ACCEPT_WITHOUT_MAJORITY
#define has_majority(r) true
#else
#define has_majority(r) (hosts[0].acknowledged[r] + hosts[1].acknowledged[r] + \
  hosts[2].acknowledged[r] >= MAJORITY)
#endif

proctype Publisher() {
  byte r = 0;
end:
  do
  :: atomic { stored < REVISIONS -> stored++ }
  :: atomic { stored > 0 && !accepted[stored] && has_majority(stored) ->
       accepted[stored] = true; grace_left[stored] = LIMIT }
  :: atomic { true ->
       for (r : 0 .. HOSTS - 1) {
         count_down(hosts[r].read_left);
         count_down(hosts[r].heartbeat_left)
       }
       for (r : 1 .. REVISIONS) {
         count_down(grace_left[r])
       }
       check_property(); r = 0 }
  od
}

init {
  atomic {
    hosts[0].joined = true;
    hosts[1].joined = true;
    hosts[2].joined = true;
    run Member(0, 1, 2);
    run Member(1, 2, 0);
    run Member(2, 0, 1);
    run Publisher()
  }
}
