// Claims, fencing and reservations: host 1 takes one placement claim over from
// host 0, and both fill one endpoint that has room for one artifact. Host 0's
// calls and every order may be delayed or lost, and host 0 may pause at any
// point; host 1's calls may be lost. Timers are stored as remaining time, so
// that runs are unbounded. See docs/design/specifications.md for what the model
// omits.
//
// RUN: -DTTL=2 -DEFFECT_LIMIT=2
// VARIANT: NO_FENCE
// VARIANT: NO_WAIT_WITHOUT_FENCING
// VARIANT: RESERVE_AFTER_ORDER
// VARIANT: EXPIRY_FROM_REPLY

#define HOSTS 2
/* TTL: duration of the short lease. EFFECT_LIMIT: an order takes effect in less
   than this time or never. */
#define NO_ARTIFACT 2    /* Host 0 loads artifact 0, host 1 artifact 1. */

#define LOADING 0
#define UNLOADING 1

/* The claim and host 0's lease, as stored in the key-value service. */
byte claim_holder = 0;
byte lease_left = TTL;

/* The endpoint's memory ledger in the key-value service: one reservation. */
byte ledger_artifact = NO_ARTIFACT;
byte ledger_state = LOADING;
byte ledger_fence = 0;

/* The endpoint. */
bool checks_fencing;
byte lowest_fence = 0;
bool loaded[2];

/* Each host's order in flight. */
typedef Order {
  bool used;
  bool load;
  byte artifact;
  byte left;
}
Order orders[HOSTS];

/* Host 0's local view of its lease, and its renewal in flight. */
byte valid_left = TTL;
bool renewal_sent = false;
bool renewal_done = false;
byte renewal_left = 0;

/* Host 1's acquisition. */
bool acquisition_unknown = false;
byte wait_left = 0;

/* Each host's local state. The fencing number of host h is h + 1. */
bool ready[HOSTS];           /* Holds the claim; earlier orders have ended. */
byte known_artifact[HOSTS];  /* The ledger as last read or written. */
byte known_state[HOSTS];
byte known_fence[HOSTS];
bool up_to_date[HOSTS];      /* The ledger has not changed since then. */
bool order_due[HOSTS];       /* One order per acknowledged write. */
byte load_left[HOSTS];       /* 0: no load order can still take effect. */

/* Host 0's compare-and-swap on the ledger in flight. */
bool write_sent = false;
bool write_awaited = false;
bool write_current = false;
byte write_artifact = NO_ARTIFACT;
byte write_state = LOADING;

/* Host 1 never loses its lease. */
#define may_act(h) (ready[h] && (h == 1 || valid_left > 0))
#define may_write(h) (h == 1 || !write_sent)
#define owns_reservation(h) (known_fence[h] == h + 1)
#ifdef NO_WAIT_WITHOUT_FENCING
#define wait_over true
#else
#define wait_over (wait_left == 0)
#endif

inline read_ledger(h) {
  known_artifact[h] = ledger_artifact;
  known_state[h] = ledger_state;
  known_fence[h] = ledger_fence;
  up_to_date[h] = true;
  order_due[h] = false
}

/* Writes the ledger; any other view and a pending write become stale. */
inline set_ledger(h, artifact, state) {
  /* A reservation never ends while an artifact is loaded. */
  assert(artifact != NO_ARTIFACT || !(loaded[0] || loaded[1]));
  ledger_artifact = artifact;
  ledger_state = state;
  ledger_fence = h + 1;
  up_to_date[1 - h] = false;
  write_current = false
}

inline apply_write_reply(h, artifact, state) {
  known_artifact[h] = artifact;
  known_state[h] = state;
  known_fence[h] = h + 1;
  order_due[h] = artifact != NO_ARTIFACT
}

inline clear_write() {
  write_sent = false;
  write_awaited = false;
  write_current = false;
  write_artifact = NO_ARTIFACT;
  write_state = LOADING
}

inline send_write(h, artifact, state) {
  order_due[h] = false;
  if
  :: h == 0 ->
    write_sent = true;
    write_awaited = true;
    write_current = up_to_date[0];
    write_artifact = artifact;
    write_state = state
  :: h == 1 && up_to_date[1] ->
    set_ledger(1, artifact, state);
    if
    :: apply_write_reply(1, artifact, state)
    :: up_to_date[1] = false
    fi
  :: else -> skip
  fi
}

/* The service executes host 0's compare-and-swap; the reply may be lost. */
inline execute_write() {
  if
  :: write_current ->
    set_ledger(0, write_artifact, write_state);
    if
    :: write_awaited -> apply_write_reply(0, write_artifact, write_state)
    :: up_to_date[0] = false
    fi
  :: else -> up_to_date[0] = false
  fi;
  clear_write()
}

inline send_order(h, is_load, target) {
  orders[h].used = true;
  orders[h].load = is_load;
  orders[h].artifact = target;
  orders[h].left = EFFECT_LIMIT;
  order_due[h] = false;
  if
  :: is_load -> load_left[h] = EFFECT_LIMIT
  :: else
  fi
}

inline clear_order(h) {
  orders[h].used = false;
  orders[h].load = false;
  orders[h].artifact = 0;
  orders[h].left = 0
}

/* The endpoint receives an order. */
inline receive_order(h) {
  if
  :: checks_fencing && h + 1 < lowest_fence -> skip
  :: else ->
    if
    :: checks_fencing -> lowest_fence = h + 1
    :: else
    fi;
    loaded[orders[h].artifact] = orders[h].load;
    /* Loaded artifacts fit into memory, and each load has a reservation. */
    assert(!(loaded[0] && loaded[1]));
    assert(!orders[h].load || ledger_artifact == orders[h].artifact)
  fi;
  clear_order(h)
}

inline count_down(timer) {
  if
  :: timer > 0 -> timer--
  :: else
  fi
}

/* An order that has not taken effect by its limit never does. */
inline age_order(h) {
  count_down(orders[h].left);
  if
  :: orders[h].used && orders[h].left == 0 -> clear_order(h)
  :: else
  fi
}

proctype Lease() {
end:
  do
  :: atomic { !renewal_sent && !renewal_done && valid_left > 0 ->
       renewal_left = TTL; renewal_sent = true }
  :: atomic { renewal_sent ->
       renewal_sent = false;
       if
       :: lease_left > 0 -> lease_left = TTL; renewal_done = true
       :: else -> renewal_left = 0
       fi }
  :: atomic { renewal_done ->
       if
       /* The reply is lost. */
       :: skip
#ifdef EXPIRY_FROM_REPLY
       :: valid_left = TTL
#else
       :: valid_left < renewal_left -> valid_left = renewal_left
#endif
       fi;
       renewal_done = false; renewal_left = 0 }
  od
}

proctype Claim() {
end:
  do
  :: atomic { claim_holder == 0 && lease_left == 0 ->
       claim_holder = 1;
       if
       :: acquisition_unknown = true
       :: wait_left = EFFECT_LIMIT
       fi }
  /* After a lost reply the host reads the record back. */
  :: atomic { acquisition_unknown ->
       acquisition_unknown = false; wait_left = EFFECT_LIMIT }
  :: atomic { claim_holder == 1 && !acquisition_unknown && !ready[1] &&
       checks_fencing ->
#ifndef NO_FENCE
       lowest_fence = 2;
#endif
       ready[1] = true; wait_left = 0 }
  :: atomic { claim_holder == 1 && !acquisition_unknown && !ready[1] &&
       !checks_fencing && wait_over ->
       ready[1] = true; wait_left = 0 }
  od
}

proctype Holder(byte h; byte wanted) {
end:
  do
  :: atomic { may_act(h) && !up_to_date[h] && (h == 1 || !write_awaited) ->
       read_ledger(h) }
  /* Reserve, take over or change the reservation. */
  :: atomic { may_act(h) && may_write(h) && known_artifact[h] == NO_ARTIFACT &&
       !order_due[h] -> send_write(h, wanted, LOADING) }
  :: atomic { may_act(h) && may_write(h) && known_artifact[h] != NO_ARTIFACT &&
       (!owns_reservation(h) || known_state[h] == LOADING) ->
       send_write(h, known_artifact[h], UNLOADING) }
  /* Release once the endpoint reports the artifact as unloaded and no load
     order can still take effect. */
  :: atomic { may_act(h) && may_write(h) && known_artifact[h] != NO_ARTIFACT &&
       owns_reservation(h) && known_state[h] == UNLOADING &&
       !loaded[known_artifact[h]] && load_left[h] == 0 ->
       send_write(h, NO_ARTIFACT, LOADING) }
  /* Send an order under the host's own reservation. */
  :: atomic { may_act(h) && order_due[h] && !orders[h].used ->
       send_order(h, known_state[h] == LOADING, known_artifact[h]) }
#ifdef RESERVE_AFTER_ORDER
  :: atomic { may_act(h) && known_artifact[h] == NO_ARTIFACT && up_to_date[h] &&
       !orders[h].used -> send_order(h, true, wanted) }
#endif
  od
}

proctype Network() {
end:
  do
  :: atomic {
       count_down(lease_left); count_down(valid_left);
       count_down(renewal_left); count_down(wait_left);
       count_down(load_left[0]); count_down(load_left[1]);
       age_order(0); age_order(1) }
  :: atomic { write_sent -> execute_write() }
  :: atomic { write_sent -> up_to_date[0] = false; clear_write() }
  :: atomic { write_awaited -> up_to_date[0] = false; write_awaited = false }
  :: atomic { orders[0].used -> receive_order(0) }
  :: atomic { orders[1].used -> receive_order(1) }
  :: atomic { orders[0].used -> clear_order(0) }
  :: atomic { orders[1].used -> clear_order(1) }
  od
}

init {
  atomic {
    if
    :: checks_fencing = true
    :: checks_fencing = false
    fi;
    ready[0] = true;
    known_artifact[0] = NO_ARTIFACT;
    known_artifact[1] = NO_ARTIFACT;
    run Lease();
    run Claim();
    run Holder(0, 0);
    run Holder(1, 1);
    run Network()
  }
}
