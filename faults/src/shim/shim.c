/* Preloaded into a process under test: steps the wall clock, and makes chosen system calls fail for a moment, end short
 * or be interrupted, at the rates that the test writes into a file which both sides have mapped. Calls that go to the
 * kernel past the C library are not reached: its own connects, waits on sockets and sends of datagrams. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The layout of the mapped file, in words of eight bytes; `mod.rs` has the same. */
enum { WALL_OFFSET_US, SEED, FILE_CALLS, FAIL_FILE_CALL, FILE_ERROR, SYNCS, RATES = 8 };
enum { READ_EINTR, READ_SHORT, WRITE_EINTR, WRITE_SHORT, ACCEPT_ERROR, FILE_ERROR_RATE, KINDS };
enum { WORDS = RATES + 2 * KINDS };
/* An error number that stands for a kill in the middle of the call. */
#define KILL (-1)

static _Atomic int64_t none[WORDS];
static _Atomic int64_t *control = none;
static _Atomic uint64_t state = 88172645463325252ull;

__attribute__((constructor)) static void start(void) {
    const char *path = getenv("THREADWARD_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *at = mmap(NULL, WORDS * 8, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (at != MAP_FAILED) control = at;
    close(fd);
    state ^= (uint64_t)control[SEED] * 0x9e3779b97f4a7c15ull;
}

static uint64_t dice(void) {
    uint64_t x = atomic_fetch_add(&state, 0x9e3779b97f4a7c15ull);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

/* Whether a call of this kind fails now; the file counts those that did. */
static int fails(int kind) {
    int64_t rate = control[RATES + 2 * kind];
    if (rate <= 0 || (int64_t)(dice() % 1000000) >= rate) return 0;
    atomic_fetch_add(&control[RATES + 2 * kind + 1], 1);
    return 1;
}

static int is(int fd, mode_t kind) {
    struct stat s;
    int before = errno, found = fstat(fd, &s) == 0 && (s.st_mode & S_IFMT) == kind;
    errno = before;
    return found;
}

#define REAL(name) __typeof__(name) *real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

int clock_gettime(clockid_t id, struct timespec *t) {
    REAL(clock_gettime);
    int done = real(id, t);
    if (done == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = t->tv_sec * 1000000000ll + t->tv_nsec + control[WALL_OFFSET_US] * 1000;
        t->tv_sec = ns / 1000000000, t->tv_nsec = ns % 1000000000;
    }
    return done;
}

int gettimeofday(struct timeval *restrict t, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    t->tv_sec = now.tv_sec, t->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

static size_t shorter(size_t n) { return n > 1 ? 1 + dice() % (n - 1) : n; }

ssize_t recv(int fd, void *buf, size_t n, int flags) {
    REAL(recv);
    if (fails(READ_EINTR)) return errno = EINTR, -1;
    if (!(flags & MSG_PEEK) && fails(READ_SHORT)) n = shorter(n);
    return real(fd, buf, n, flags);
}

ssize_t read(int fd, void *buf, size_t n) {
    REAL(read);
    if (is(fd, S_IFSOCK)) {
        if (fails(READ_EINTR)) return errno = EINTR, -1;
        if (fails(READ_SHORT)) n = shorter(n);
    }
    return real(fd, buf, n);
}

ssize_t send(int fd, const void *buf, size_t n, int flags) {
    REAL(send);
    if (fails(WRITE_EINTR)) return errno = EINTR, -1;
    if (fails(WRITE_SHORT)) n = shorter(n);
    return real(fd, buf, n, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (is(fd, S_IFSOCK)) {
        if (fails(WRITE_EINTR)) return errno = EINTR, -1;
        if (count > 0 && fails(WRITE_SHORT)) {
            struct iovec first = parts[0];
            first.iov_len = shorter(first.iov_len);
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

int accept4(int fd, struct sockaddr *restrict at, socklen_t *restrict n, int flags) {
    static const int errors[] = {ECONNABORTED, EINTR, ENFILE, ENOBUFS, ENOMEM, EPROTO, ENETUNREACH, EHOSTUNREACH, EMFILE, EPERM};
    REAL(accept4);
    if (fails(ACCEPT_ERROR)) return errno = errors[dice() % (sizeof errors / sizeof *errors)], -1;
    return real(fd, at, n, flags);
}

/* Whether a call that changes the folder fails now: by its number, or by the rate. */
static int file_fails(void) {
    static const int errors[] = {ENOSPC, EIO, EDQUOT, EROFS};
    int64_t call = atomic_fetch_add(&control[FILE_CALLS], 1) + 1;
    if (control[FAIL_FILE_CALL] == call) {
        if (control[FILE_ERROR] == KILL) raise(SIGKILL);
        return (int)control[FILE_ERROR];
    }
    return fails(FILE_ERROR_RATE) ? errors[dice() % 4] : 0;
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    int error = flags & O_CREAT ? file_fails() : 0;
    if (error) return errno = error, -1;
    return real(path, flags, mode);
}

ssize_t write(int fd, const void *buf, size_t n) {
    REAL(write);
    if (is(fd, S_IFREG)) {
        /* Half of it is there when the rest fails. */
        int64_t call = control[FILE_CALLS] + 1;
        if (control[FAIL_FILE_CALL] == call && n > 1) real(fd, buf, n / 2);
        int error = file_fails();
        if (error) return errno = error, -1;
    } else if (is(fd, S_IFSOCK)) {
        if (fails(WRITE_EINTR)) return errno = EINTR, -1;
        if (fails(WRITE_SHORT)) n = shorter(n);
    }
    return real(fd, buf, n);
}

ssize_t pwrite64(int fd, const void *buf, size_t n, off64_t at) {
    REAL(pwrite64);
    int error = file_fails();
    if (error) return errno = error, -1;
    return real(fd, buf, n, at);
}

int fsync(int fd) {
    REAL(fsync);
    int error = file_fails();
    if (error) return errno = error, -1;
    atomic_fetch_add(&control[SYNCS], 1);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    int error = file_fails();
    if (error) return errno = error, -1;
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    int error = file_fails();
    if (error) return errno = error, -1;
    return real(from, to);
}
