#include "httpend.h"

#include <netdb.h>

#include "ctr.h"
#include "log.h"

static const struct {
	enum ctr counter;
	const char *name;
} ends[] = {
	[HTTPEND_LENGTH] = { CTR_RESPONSES_LENGTH, "length" },
	[HTTPEND_LAST_CHUNK] = { CTR_RESPONSES_LAST_CHUNK, "last chunk" },
	[HTTPEND_CLOSE] = { CTR_RESPONSES_CLOSE, "close" },
	[HTTPEND_CUT] = { CTR_RESPONSES_CUT, "close" },
	[HTTPEND_RESET] = { CTR_RESPONSES_RESET, "reset" },
	[HTTPEND_WRITE_ERROR] = { CTR_RESPONSES_WRITE_ERROR, "write error" },
	[HTTPEND_INVALID] = { CTR_RESPONSES_INVALID, "invalid" },
};

/* Counts an end; logs one by a close and one that is not complete. */
void httpend_record(enum httpend how, const struct httpend_details *d)
{
	char ip[NI_MAXHOST] = "";
	char port[NI_MAXSERV] = "";

	ctr_add(ends[how].counter, 1);
	if (how == HTTPEND_LENGTH || how == HTTPEND_LAST_CHUNK)
		return;
	getnameinfo(d->server, d->server_len, ip, sizeof(ip), port,
		    sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV);
	log_emit(how == HTTPEND_CLOSE ? LOG_RESPONSE_BY_CLOSE :
					LOG_RESPONSE_INCOMPLETE,
		 "from=%s:%s end=\"%s\" status=%u received=%llu unsent=%llu "
		 "send_error=%d",
		 ip, port, ends[how].name, d->status,
		 (unsigned long long)d->received, (unsigned long long)d->unsent,
		 d->send_error);
}
