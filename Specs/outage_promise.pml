// Takeover deferral: host 0 holds a claim whose record names host 1 as its
// successor. In an outage of the key-value service host 0 continues only while
// host 1 has agreed to defer its takeover; any third host takes over only once
// neither of them can hold the claim any longer. An outage is the loss of any
// number of calls. Timers are stored as remaining time, so that runs are
// unbounded. See docs/design/specifications.md for what the model omits.
//
// RUN: -DTTL=2 -DLONG_TTL=5
// VARIANT: EXPIRY_FROM_REPLY
// VARIANT: DEFERRAL_NOT_KEPT
// VARIANT: DEFERRAL_WITHOUT_LONG_LEASE
// VARIANT: DEFERRAL_WHILE_ACQUIRING
// VARIANT: THIRD_HOST_WITHOUT_WAIT
// VARIANT: DELETE_WHILE_RUNNING

/* TTL: duration of the short lease; LONG_TTL: duration of the long lease. */
#define NEVER 255

/* The key-value service: the claim's holder, host 0's short lease as the record
   names it, and host 1's long lease as the record names it. */
byte claim_holder = 0;
byte short_left = TTL;
byte long_left = LONG_TTL;

/* Host 0. */
byte short_valid_left = TTL;
byte deferral_left = 0;
bool renewal_sent = false;
bool renewal_done = false;
byte renewal_left = 0;
bool request_sent = false;    /* A deferral request is in flight to host 1. */
bool request_granted = false; /* The reply that grants it is in flight. */
byte request_left = 0;

/* Host 1. */
bool successor = true;        /* Not restarted since the record was written. */
byte long_valid_left = LONG_TTL;
byte granted_left = 0;
bool long_renewal_sent = false;
bool long_renewal_done = false;
byte long_renewal_left = 0;
bool acquiring = false;       /* Its write of the record is in flight. */

/* Host 2: remaining wait; starts once it sees that both leases have expired. */
byte third_wait_left = NEVER;

#define holds (short_valid_left > 0 || deferral_left > 0)
#define holder_live (short_left > 0)
#define successor_live (long_left > 0)

#ifdef DEFERRAL_WITHOUT_LONG_LEASE
#define may_defer_by_lease true
#else
#define may_defer_by_lease (long_valid_left > 0)
#endif
#ifdef DEFERRAL_WHILE_ACQUIRING
#define may_defer_by_state true
#else
#define may_defer_by_state (!acquiring)
#endif
#ifdef DEFERRAL_NOT_KEPT
#define deferral_over true
#else
#define deferral_over (granted_left == 0)
#endif
#ifdef THIRD_HOST_WITHOUT_WAIT
#define wait_over true
#else
#define wait_over (third_wait_left == 0)
#endif

inline count_down(timer) {
  if
  :: timer > 0 -> timer--
  :: else
  fi
}

inline check_property() {
  assert(claim_holder == 0 || !holds)
}

proctype Holder() {
end:
  do
  :: atomic { claim_holder == 0 && !renewal_sent && !renewal_done ->
       renewal_sent = true; renewal_left = TTL }
  :: atomic { renewal_done ->
       if
       /* The reply is lost. */
       :: skip
#ifdef EXPIRY_FROM_REPLY
       :: short_valid_left = TTL
#else
       :: short_valid_left < renewal_left ->
         short_valid_left = renewal_left
#endif
       fi;
       renewal_done = false; renewal_left = 0;
       check_property() }
  /* After its lease has expired: a new short lease, written into the record
     while host 0 still holds the claim. */
  :: atomic { claim_holder == 0 && holds && !holder_live && !renewal_sent &&
       !renewal_done ->
       short_left = TTL;
       short_valid_left = TTL;
       acquiring = false;
       third_wait_left = NEVER }
  :: atomic { holds && !request_sent && !request_granted ->
       request_sent = true; request_left = TTL }
  :: atomic { request_granted ->
       if
       :: deferral_left < request_left ->
         deferral_left = request_left
       :: else
       fi;
       request_granted = false; request_left = 0;
       check_property() }
  od
}

proctype Successor() {
end:
  do
  :: atomic { successor && !long_renewal_sent && !long_renewal_done &&
       long_valid_left > 0 ->
       long_renewal_sent = true; long_renewal_left = LONG_TTL }
  :: atomic { long_renewal_done ->
       if
       /* The reply is lost. */
       :: skip
       :: long_valid_left < long_renewal_left ->
         long_valid_left = long_renewal_left
       fi;
       long_renewal_done = false; long_renewal_left = 0 }
  :: atomic { request_sent && successor && claim_holder == 0 &&
       may_defer_by_lease && may_defer_by_state ->
       request_sent = false;
       granted_left = TTL;
       if
       :: request_granted = true
       /* The reply is lost. */
       :: request_left = 0
       fi }
  :: atomic { claim_holder == 0 && successor && !acquiring && !holder_live &&
       deferral_over -> acquiring = true }
  /* A restarted host counts as a new host and has no record of a deferral. */
  :: atomic { successor ->
       successor = false; acquiring = false; granted_left = 0;
       long_valid_left = 0; long_renewal_sent = false;
       long_renewal_done = false; long_renewal_left = 0 }
  /* It has bound the address of its previous run, which has therefore ended, and
     deletes that run's long-lease key. */
#ifdef DELETE_WHILE_RUNNING
  :: atomic { long_left > 0 -> long_left = 0 }
#else
  :: atomic { !successor && long_left > 0 -> long_left = 0 }
#endif
  od
}

proctype Third() {
end:
  do
  :: atomic { claim_holder == 0 && !holder_live && !successor_live ->
       if
       :: third_wait_left == NEVER -> third_wait_left = TTL
       :: else -> skip
       fi;
       if
       :: wait_over -> claim_holder = 2; acquiring = false; check_property()
       :: else
       fi }
  od
}

proctype Network() {
end:
  do
  /* Time passes until a takeover; later expiry cannot violate the property. */
  :: atomic { claim_holder == 0 ->
       count_down(short_left); count_down(long_left);
       count_down(short_valid_left); count_down(deferral_left);
       count_down(renewal_left); count_down(request_left);
       count_down(long_valid_left); count_down(granted_left);
       count_down(long_renewal_left);
       if
       :: third_wait_left != NEVER -> count_down(third_wait_left)
       :: else
       fi }
  :: atomic { renewal_sent ->
       renewal_sent = false;
       if
       :: claim_holder == 0 && holder_live ->
         short_left = TTL; renewal_done = true
       :: else -> renewal_left = 0
       fi }
  :: atomic { renewal_sent -> renewal_sent = false; renewal_left = 0 }
  :: atomic { long_renewal_sent ->
       long_renewal_sent = false;
       if
       :: successor_live ->
         long_left = LONG_TTL; long_renewal_done = true
       :: else -> long_renewal_left = 0
       fi }
  :: atomic { long_renewal_sent ->
       long_renewal_sent = false; long_renewal_left = 0 }
  :: atomic { request_sent -> request_sent = false; request_left = 0 }
  :: atomic { acquiring && claim_holder == 0 ->
       acquiring = false; claim_holder = 1; check_property() }
  od
}

init {
  atomic {
    run Holder();
    run Successor();
    run Third();
    run Network()
  }
}
