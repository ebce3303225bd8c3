/* The protocol between entry hosts.  All messages are one-way: a call's result
 * only says whether the envelope was accepted. */

const PEER_MESSAGES_MAX = 64;
const PEER_SERVICES_MAX = 16;
const PEER_ITEMS_MAX = 32;
const PEER_BODY_MAX = 16777216;

struct peer_load {
  unsigned hyper service;
  int free_slots;
  int waiting;
};

struct peer_heartbeat {
  hyper config_version;
  hyper store_age_us;
  bool leaving;
  peer_load services<PEER_SERVICES_MAX>;
};

struct peer_loan_item {
  unsigned hyper budget;
  unsigned hyper number;
  hyper amount;
  hyper surplus;
  unsigned hyper returned_number;
  hyper returned_amount;
};

struct peer_loans {
  hyper requested_us;
  unsigned hyper nonce;
  peer_loan_item items<PEER_ITEMS_MAX>;
};

struct peer_suspect {
  unsigned hyper fingerprint;
  unsigned hyper server;
  bool confirmed;
};

struct peer_document {
  hyper config_version;
  string text<PEER_BODY_MAX>;
};

/* The cases are the values of enum pl_message_type (event.h). */
union peer_message switch (int type) {
case 0:
  peer_heartbeat heartbeat;
case 1:
  peer_loans loan_request;
case 2:
  peer_loans grant;
case 3:
  peer_suspect suspect;
case 4:
  peer_document release;
case 5:
  peer_document snapshot;
case 6:
  hyper held_version;
};

struct peer_batch {
  peer_message messages<PEER_MESSAGES_MAX>;
};

/* body is an encoded peer_batch; mac authenticates all other fields. */
struct peer_envelope {
  string sender<63>;
  string address<23>;
  unsigned hyper nonce;
  unsigned hyper started_us;
  unsigned hyper sequence;
  opaque body<PEER_BODY_MAX>;
  opaque mac[32];
};

program PEER_PROGRAM {
  version PEER_VERSION {
    int PEER_DELIVER (peer_envelope) = 1;
  } = 1;
} = 0x20504c31;
