#include "fnc.h"

#include <fcntl.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

struct fnc {
	int fd;
};

/* Opens the file; a partition that was never written reads as 0. */
struct fnc *fnc_open(const char *path)
{
	struct fnc *f = malloc(sizeof(*f));

	if (!f)
		return NULL;
	f->fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
	if (f->fd >= 0)
		return f;
	free(f);
	return NULL;
}

/* Closes the file; NULL is ignored. */
void fnc_close(struct fnc *f)
{
	if (!f)
		return;
	close(f->fd);
	free(f);
}

/* Compares and writes; the caller holds the lock. */
static bool pass_locked(struct fnc *f, off_t at, uint64_t fence)
{
	uint64_t seen = 0;
	ssize_t n = pread(f->fd, &seen, sizeof(seen), at);

	if (n != 0 && n != sizeof(seen))
		return false;
	if (seen >= fence)
		return seen == fence;
	return pwrite(f->fd, &fence, sizeof(fence), at) == sizeof(fence);
}

/* Holds the lock of the file between reading and writing. */
bool fnc_pass(struct fnc *f, uint64_t partition, uint64_t fence)
{
	bool ok;

	if (partition >= FNC_PARTITIONS_MAX || flock(f->fd, LOCK_EX) != 0)
		return false;
	ok = pass_locked(f, (off_t)(partition * sizeof(fence)), fence);
	flock(f->fd, LOCK_UN);
	return ok;
}
