// The placement leader: two hosts compete for one lease in the key-value
// service; its holder orders one engine to load and unload models of one size.
// Orders may remain unanswered and be executed late. Timers are stored as
// remaining time. See docs/design/specifications.md for what the model omits.
//
// RUN: -DTTL=2 -DGAP=2 -DCAPACITY=2 -DORDERS=2
// VARIANT: EXPIRY_FROM_REPLY
// VARIANT: NO_GAP
// VARIANT: NO_ORDER_NUMBER
// VARIANT: TRUST_BUSY_REPORT
// VARIANT: TRUST_REGISTRATION
// VARIANT: TRUST_OLD_REPORT

/* TTL: duration of the lease; GAP: minimum time between orders of two holders;
   CAPACITY: number of models that fit into the engine; ORDERS: orders in a
   run. */
#define NOBODY 2
#define UNKNOWN 255

mtype = { none, sending, unanswered, running };
mtype = { no_answer, accepted, conflict };

/* The key-value service. */
byte owner = NOBODY;
byte lease_left = 0;

/* The engine. A late order is received but neither answered nor executed yet. */
byte orders_accepted = 0;
byte loaded = 1;
bool busy = false;
bool busy_load = false;
bool late = false;
byte late_number = 0;
bool late_load = false;
/* Its report, which is some time old. */
byte reported_orders = 0;
byte reported_loaded = 1;
bool reported_busy = false;
/* A leader has changed, or the engine has executed an order that its sender
   does not know of: only then may an order be in conflict. */
bool uncertain = false;
#ifdef TRUST_REGISTRATION
byte registered = 1;      /* Number of models in its registration. */
#endif

/* The hosts. */
bool holds_lease[2];
byte valid_left[2];
byte gap_left[2];
bool acquisition_sent[2];
bool renewal_sent[2];
bool renewal_done[2];
byte call_left[2];        /* TTL less the time since the call was sent. */
byte known_orders[2];     /* Orders accepted by the engine, or UNKNOWN. */
byte known_loaded[2];     /* Models loaded, with what the open order may add. */
mtype open[2] = none;
bool open_load[2];
bool in_flight[2];        /* The open order is in flight to the engine. */
mtype answer[2] = no_answer;

/* Who sent the last order, and the time since then, counted up to GAP. */
byte last_sender = NOBODY;
byte since_last = 0;

#define may_order(h) (holds_lease[h] && valid_left[h] > 0 && gap_left[h] == 0)

#ifdef NO_ORDER_NUMBER
#define number_fits(n) true
#else
#define number_fits(n) (n == orders_accepted)
#endif

inline count_down(timer) {
  if
  :: timer > 0 -> timer--
  :: else
  fi
}

#ifdef TRUST_OLD_REPORT
#define report_usable(h) (!reported_busy)
#else
#define report_usable(h) (!reported_busy && reported_orders >= known_orders[h])
#endif

inline reset_state(h) {
  uncertain = true;
  known_orders[h] = UNKNOWN;
  known_loaded[h] = 0;
  open[h] = none;
  in_flight[h] = false;
  answer[h] = no_answer
}

/* The engine starts an order. */
inline accept_order(load) {
  orders_accepted++;
  busy = true;
  busy_load = load;
  assert(!load || loaded < CAPACITY)
}

inline send_order(h) {
  assert(last_sender == NOBODY || last_sender == h || since_last >= GAP);
  last_sender = h;
  since_last = 0;
  in_flight[h] = true;
  open[h] = sending
}

proctype Host(byte me) {
end:
  do
  /* The lease. */
  :: atomic { !holds_lease[me] && !acquisition_sent[me] && !renewal_sent[me] &&
       !renewal_done[me] && call_left[me] == 0 && owner == NOBODY ->
       acquisition_sent[me] = true; call_left[me] = TTL }
  :: atomic { holds_lease[me] && !renewal_sent[me] && !renewal_done[me] &&
       valid_left[me] > 0 ->
       renewal_sent[me] = true; call_left[me] = TTL }
  :: atomic { renewal_done[me] ->
       if
       /* The reply is lost. */
       :: skip
#ifdef EXPIRY_FROM_REPLY
       :: holds_lease[me] -> valid_left[me] = TTL
#else
       :: holds_lease[me] && valid_left[me] < call_left[me] ->
         valid_left[me] = call_left[me]
#endif
       fi;
       renewal_done[me] = false; call_left[me] = 0 }
  :: atomic { holds_lease[me] && valid_left[me] == 0 ->
       holds_lease[me] = false;
       reset_state(me) }

  /* Orders. */
  :: atomic { may_order(me) && open[me] == none && known_orders[me] == UNKNOWN ->
#ifdef TRUST_BUSY_REPORT
       known_orders[me] = reported_orders; known_loaded[me] = reported_loaded
#else
       if
       :: !reported_busy ->
         known_orders[me] = reported_orders; known_loaded[me] = reported_loaded
       :: else
       fi
#endif
     }
  :: atomic { may_order(me) && open[me] == none && known_orders[me] < ORDERS &&
       known_loaded[me] < CAPACITY ->
       known_loaded[me]++; open_load[me] = true; send_order(me) }
  :: atomic { may_order(me) && open[me] == none && known_orders[me] < ORDERS &&
       known_loaded[me] > 0 ->
       open_load[me] = false; send_order(me) }
  :: atomic { may_order(me) && open[me] == unanswered -> send_order(me) }
  :: atomic { open[me] == sending && answer[me] == accepted ->
       answer[me] = no_answer; open[me] = running; known_orders[me]++ }
  :: atomic { open[me] == sending && answer[me] == conflict ->
       answer[me] = no_answer; open[me] = running }
  :: atomic { open[me] == sending && answer[me] == no_answer &&
       !in_flight[me] ->
       open[me] = unanswered }
#ifdef TRUST_REGISTRATION
  /* The registration may be older than the last report. */
  :: atomic { open[me] == none && known_orders[me] != UNKNOWN ->
       known_loaded[me] = registered }
#endif
  /* The report shows the result of the order. */
  :: atomic { may_order(me) && open[me] == running && report_usable(me) ->
       known_orders[me] = reported_orders; known_loaded[me] = reported_loaded;
       open[me] = none }
  od
}

proctype Engine() {
  byte h;
end:
  do
  :: atomic { in_flight[0] || in_flight[1] ->
       if
       :: in_flight[0] -> h = 0
       :: in_flight[1] -> h = 1
       fi;
       in_flight[h] = false;
       if
       :: busy || !number_fits(known_orders[h]) ->
         assert(uncertain);
         if
         :: answer[h] = conflict
         :: skip
         fi
       :: !busy && number_fits(known_orders[h]) ->
         if
         :: accept_order(open_load[h]); answer[h] = accepted
         /* The answer is lost. */
         :: accept_order(open_load[h]); uncertain = true
         /* Neither answered nor executed yet. */
         :: !late -> late = true; uncertain = true; late_number = known_orders[h];
           late_load = open_load[h]
         fi
       fi;
       h = 0 }
  :: atomic { late ->
       late = false;
       if
       :: !busy && number_fits(late_number) -> accept_order(late_load)
       :: else
       fi;
       late_number = 0; late_load = false }
  :: atomic { busy ->
       busy = false;
       if
       :: busy_load -> loaded++
       :: !busy_load && loaded > 0 -> loaded--
       :: else
       fi;
       busy_load = false }
  :: atomic { reported_orders != orders_accepted || reported_loaded != loaded ||
       reported_busy != busy ->
       reported_orders = orders_accepted; reported_loaded = loaded;
       reported_busy = busy }
#ifdef TRUST_REGISTRATION
  :: atomic { registered != loaded -> registered = loaded }
#endif
  od
}

proctype Network() {
  byte h;
end:
  do
  :: atomic {
       count_down(lease_left);
       if
       :: lease_left == 0 -> owner = NOBODY
       :: else
       fi;
       count_down(valid_left[0]); count_down(valid_left[1]);
       count_down(gap_left[0]); count_down(gap_left[1]);
       count_down(call_left[0]); count_down(call_left[1]);
       if
       :: since_last < GAP -> since_last++
       :: else
       fi }
  :: atomic { (acquisition_sent[0] || acquisition_sent[1]) ->
       if
       :: acquisition_sent[0] -> h = 0
       :: acquisition_sent[1] -> h = 1
       fi;
       acquisition_sent[h] = false;
       if
       :: owner == NOBODY ->
         owner = h; lease_left = TTL;
         uncertain = uncertain || last_sender != NOBODY;
         if
         /* The reply is lost; the key is deleted when its lease expires. */
         :: skip
         :: holds_lease[h] = true; valid_left[h] = call_left[h];
#ifndef NO_GAP
           gap_left[h] = GAP
#endif
         fi
       :: else
       fi;
       call_left[h] = 0; h = 0 }
  :: atomic { (renewal_sent[0] || renewal_sent[1]) ->
       if
       :: renewal_sent[0] -> h = 0
       :: renewal_sent[1] -> h = 1
       fi;
       renewal_sent[h] = false;
       if
       :: owner == h -> lease_left = TTL; renewal_done[h] = true
       :: owner != h -> call_left[h] = 0
       /* The call is lost. */
       :: call_left[h] = 0
       fi;
       h = 0 }
  od
}

init {
  atomic {
    known_orders[0] = UNKNOWN; known_orders[1] = UNKNOWN;
    run Host(0);
    run Host(1);
    run Engine();
    run Network()
  }
}
