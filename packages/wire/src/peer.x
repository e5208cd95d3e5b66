/*
 * Protocol between daemons: ONC RPC program 0x20049af1, version 1. LEASE,
 * DIGEST and STRIKE are sent over UDP and have no reply; the others use TCP.
 * "from" is the sending process and "to" the process that the call is addressed
 * to; a call to another incarnation is answered with PEER_WRONG_PROCESS.
 */

const PEER_LEASE_MAX = 48;      /* lease messages per datagram */
const PEER_NAME_MAX = 63;
const PEER_VALUE_MAX = 4095;
const PEER_HEADERS_MAX = 32;
const PEER_TARGET_MAX = 4095;
const PEER_FIRST_MAX = 32768;   /* body bytes in OPEN and its reply */
const PEER_CHUNK_MAX = 65536;   /* body bytes in DATA and READ */
const PEER_ROWS_MAX = 256;      /* rows per reply to SYNC */
const PEER_ROW_VALUE_MAX = 4095;
const PEER_BODY_MAX = 1048576;  /* bytes of a manifest or duplicate window */
const PEER_LABEL_MAX = 95;

struct peer_proc {
	unsigned int instance;
	unsigned hyper incarnation;
};

enum peer_status {
	PEER_OK = 0,
	PEER_WRONG_PROCESS = 1,
	PEER_MOVED = 2,         /* not run; another process is the holder */
	PEER_NOT_RUN = 3,
	PEER_SHED = 4,          /* not run */
	PEER_UNKNOWN = 5,
	PEER_QUARANTINED = 6,   /* not run */
	PEER_INVALID = 7,       /* not run */
	PEER_CLOSED = 8,        /* no such stream */
	PEER_DUPLICATE = 9,     /* this request id has run or is running */
	PEER_UNSEEN = 10,       /* may be a duplicate; cannot be ruled out */
	PEER_NOT_FOUND = 11
};

struct peer_lease_msg {
	unsigned int type;
	unsigned hyper part;
	unsigned hyper row_version;
	unsigned hyper seq;
	bool active;
	bool claimed;
	unsigned hyper sealed_below;
	peer_proc promised_to;
	unsigned int promise_left_us;
};

struct peer_lease {
	peer_proc from;
	peer_proc to;
	peer_lease_msg msgs<PEER_LEASE_MAX>;
};

struct peer_digest {
	peer_proc from;
	unsigned hyper seq;             /* replica is complete up to this */
	unsigned hyper manifest;        /* version of the manifest in force */
	unsigned int load_permille;
	bool answer;                    /* requests a digest in return */
};

struct peer_strike {
	peer_proc from;
	unsigned hyper fingerprint;
	unsigned int strikes;
	string label<PEER_LABEL_MAX>;
};

struct peer_header {
	string name<PEER_NAME_MAX>;
	string value<PEER_VALUE_MAX>;
};

struct peer_open {
	peer_proc from;
	peer_proc to;
	unsigned hyper stream;          /* chosen by and unique per sender */
	unsigned hyper part;
	unsigned hyper row_version;     /* row version known to the sender */
	unsigned int service;
	string kind<PEER_NAME_MAX>;
	string method<7>;
	string target<PEER_TARGET_MAX>; /* path and query */
	string key<PEER_NAME_MAX>;      /* for hot keys; may be truncated */
	string request_id<127>;         /* empty for idempotent kinds */
	string traceparent<PEER_NAME_MAX>;
	unsigned int deadline_left_ms;
	hyper content_length;           /* bytes; -1 if unknown */
	peer_header headers<PEER_HEADERS_MAX>;
	opaque first<PEER_FIRST_MAX>;
	bool end;                       /* no more body follows */
};

struct peer_opened {
	peer_status status;
	peer_proc actor;                /* MOVED: presumed holder */
	unsigned hyper row_version;     /* MOVED: row version known there */
	unsigned int retry_after_ms;    /* SHED */
	int http_status;                /* OK, DUPLICATE */
	hyper content_length;           /* bytes; -1 if unknown */
	peer_header headers<PEER_HEADERS_MAX>;
	opaque first<PEER_FIRST_MAX>;
	bool end;
};

struct peer_data {
	peer_proc from;
	unsigned hyper stream;
	opaque bytes<PEER_CHUNK_MAX>;
	bool end;
};

struct peer_read {
	peer_proc from;
	unsigned hyper stream;
	unsigned int max;
};

struct peer_chunk {
	peer_status status;
	opaque bytes<PEER_CHUNK_MAX>;
	bool end;
};

struct peer_cancel {
	peer_proc from;
	unsigned hyper stream;
};

struct peer_sync {
	peer_proc from;
	unsigned hyper since;
};

struct peer_row {
	string key<PEER_LABEL_MAX>;
	unsigned hyper row_version;
	unsigned hyper seq;
	string value<PEER_ROW_VALUE_MAX>;
};

struct peer_rows {
	peer_status status;
	unsigned hyper complete;        /* rows are complete up to this */
	peer_row rows<PEER_ROWS_MAX>;
};

struct peer_fetch {
	peer_proc from;
	string name<PEER_LABEL_MAX>;
};

struct peer_body {
	peer_status status;
	opaque bytes<PEER_BODY_MAX>;
};

struct peer_handover {
	peer_proc from;
	peer_proc to;
	unsigned hyper part;
	unsigned hyper row_version;
	opaque window<PEER_BODY_MAX>;
};

struct peer_answer {
	peer_status status;
	peer_proc self;                 /* the answering process */
};

struct peer_hello {
	peer_proc from;
};

program PEER_PROGRAM {
	version PEER_V1 {
		void PEER_NULL(void) = 0;
		void PEER_LEASE(peer_lease) = 1;
		void PEER_DIGEST(peer_digest) = 2;
		void PEER_STRIKE(peer_strike) = 3;
		peer_answer PEER_HELLO(peer_hello) = 4;
		peer_opened PEER_OPEN(peer_open) = 5;
		peer_answer PEER_DATA(peer_data) = 6;
		peer_chunk PEER_READ(peer_read) = 7;
		peer_answer PEER_CANCEL(peer_cancel) = 8;
		peer_rows PEER_SYNC(peer_sync) = 9;
		peer_body PEER_FETCH(peer_fetch) = 10;
		peer_answer PEER_HANDOVER(peer_handover) = 11;
	} = 1;
} = 0x20049af1;
