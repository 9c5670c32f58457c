/* A library that is preloaded into a process under test. It steps the wall clock, and makes chosen system calls
 * fail, transfer only some of the bytes or be interrupted, at the rates that the test writes into the control
 * file, which this library maps into memory. System calls that do not go through the C library cannot be made to
 * fail: the process's connects, waits on sockets and sends of datagrams. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The layout of the control file, in words of eight bytes; `mod.rs` has the same. */
enum { WALL_OFFSET_US, SEED, FILE_CALLS, FAIL_FILE_CALL, FILE_ERROR, SYNCS, RATES = 8 };
/* The kinds of failures at a rate. Each has two words from RATES on: the rate per million, and the failures so
 * far. */
enum { READ_EINTR, READ_SHORT, WRITE_EINTR, WRITE_SHORT, ACCEPT_ERROR, FILE_ERROR_RATE, KINDS };
enum { WORDS = RATES + 2 * KINDS };
/* In FILE_ERROR: the process is killed during the call. */
#define KILL (-1)

/* Stands in for the control file where there is none: no call fails. */
static _Atomic int64_t no_control[WORDS];
static _Atomic int64_t *control = no_control;
/* The state of the pseudorandom number generator. */
static _Atomic uint64_t random_state = 88172645463325252ull;

/* Every function of the C library that a function below replaces. */
#define FOR_EACH_REPLACED(X) \
    X(clock_gettime) X(recv) X(read) X(send) X(writev) X(accept4) X(open64) X(write) X(pwrite64) X(fsync) \
    X(fdatasync) X(rename)

/* The functions of the C library, by name. They are resolved once, when the library is loaded: `dlsym` takes a
 * lock, and a signal handler that calls one of these functions while its thread is in `dlsym` would wait for
 * itself. */
static struct {
#define DECLARE(name) __typeof__(name) *name;
    FOR_EACH_REPLACED(DECLARE)
#undef DECLARE
} real_functions;

static void resolve_functions(void) {
#define RESOLVE(name) real_functions.name = (__typeof__(name) *)dlsym(RTLD_NEXT, #name);
    FOR_EACH_REPLACED(RESOLVE)
#undef RESOLVE
}

/* Declares `real`, the function of the C library that a function below replaces. Only a call from the
 * constructor of another library can come before the functions are resolved. */
#define REAL(name) \
    if (!real_functions.name) resolve_functions(); \
    __typeof__(name) *real = real_functions.name

/* Resolves the functions and maps the control file when the library is loaded. */
__attribute__((constructor)) static void initialize(void) {
    resolve_functions();
    const char *path = getenv("THREADWARD_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *mapped = mmap(NULL, WORDS * 8, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped != MAP_FAILED) control = mapped;
    close(fd);
    random_state ^= (uint64_t)control[SEED] * 0x9e3779b97f4a7c15ull;
}

/* Returns the next pseudorandom number (SplitMix64). */
static uint64_t next_random(void) {
    uint64_t x = atomic_fetch_add(&random_state, 0x9e3779b97f4a7c15ull);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

/* Decides whether a call of this kind fails now, and counts it in the control file if it does. */
static int should_fail(int kind) {
    int64_t rate = control[RATES + 2 * kind];
    if (rate <= 0 || (int64_t)(next_random() % 1000000) >= rate) return 0;
    atomic_fetch_add(&control[RATES + 2 * kind + 1], 1);
    return 1;
}

/* Returns whether a descriptor is a file of this type. Leaves errno unchanged. */
static int has_type(int fd, mode_t type) {
    struct stat s;
    int saved_errno = errno, matches = fstat(fd, &s) == 0 && (s.st_mode & S_IFMT) == type;
    errno = saved_errno;
    return matches;
}


int clock_gettime(clockid_t id, struct timespec *t) {
    REAL(clock_gettime);
    int result = real(id, t);
    if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = t->tv_sec * 1000000000ll + t->tv_nsec + control[WALL_OFFSET_US] * 1000;
        t->tv_sec = ns / 1000000000, t->tv_nsec = ns % 1000000000;
    }
    return result;
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

/* Returns a pseudorandom length below n, but at least 1. */
static size_t shorter(size_t n) { return n > 1 ? 1 + next_random() % (n - 1) : n; }

ssize_t recv(int fd, void *buf, size_t n, int flags) {
    REAL(recv);
    if (should_fail(READ_EINTR)) return errno = EINTR, -1;
    if (!(flags & MSG_PEEK) && should_fail(READ_SHORT)) n = shorter(n);
    return real(fd, buf, n, flags);
}

ssize_t read(int fd, void *buf, size_t n) {
    REAL(read);
    if (has_type(fd, S_IFSOCK)) {
        if (should_fail(READ_EINTR)) return errno = EINTR, -1;
        if (should_fail(READ_SHORT)) n = shorter(n);
    }
    return real(fd, buf, n);
}

ssize_t send(int fd, const void *buf, size_t n, int flags) {
    REAL(send);
    if (should_fail(WRITE_EINTR)) return errno = EINTR, -1;
    if (should_fail(WRITE_SHORT)) n = shorter(n);
    return real(fd, buf, n, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (has_type(fd, S_IFSOCK)) {
        if (should_fail(WRITE_EINTR)) return errno = EINTR, -1;
        if (count > 0 && should_fail(WRITE_SHORT)) {
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
    if (should_fail(ACCEPT_ERROR)) return errno = errors[next_random() % (sizeof errors / sizeof *errors)], -1;
    return real(fd, at, n, flags);
}

/* Counts a call that changes files, and returns the error that it fails with now, or 0. The call fails by its
 * number or at the rate. With KILL the process ends here instead. */
static int next_file_error(void) {
    static const int errors[] = {ENOSPC, EIO, EDQUOT, EROFS};
    int64_t call = atomic_fetch_add(&control[FILE_CALLS], 1) + 1;
    if (control[FAIL_FILE_CALL] == call) {
        if (control[FILE_ERROR] == KILL) raise(SIGKILL);
        return (int)control[FILE_ERROR];
    }
    return should_fail(FILE_ERROR_RATE) ? errors[next_random() % 4] : 0;
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    int error = flags & O_CREAT ? next_file_error() : 0;
    if (error) return errno = error, -1;
    return real(path, flags, mode);
}

ssize_t write(int fd, const void *buf, size_t n) {
    REAL(write);
    if (has_type(fd, S_IFREG)) {
        /* A call that fails by its number writes half of the bytes first. */
        int64_t call = control[FILE_CALLS] + 1;
        if (control[FAIL_FILE_CALL] == call && n > 1) real(fd, buf, n / 2);
        int error = next_file_error();
        if (error) return errno = error, -1;
    } else if (has_type(fd, S_IFSOCK)) {
        if (should_fail(WRITE_EINTR)) return errno = EINTR, -1;
        if (should_fail(WRITE_SHORT)) n = shorter(n);
    }
    return real(fd, buf, n);
}

ssize_t pwrite64(int fd, const void *buf, size_t n, off64_t at) {
    REAL(pwrite64);
    int error = next_file_error();
    if (error) return errno = error, -1;
    return real(fd, buf, n, at);
}

int fsync(int fd) {
    REAL(fsync);
    int error = next_file_error();
    if (error) return errno = error, -1;
    atomic_fetch_add(&control[SYNCS], 1);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    int error = next_file_error();
    if (error) return errno = error, -1;
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    int error = next_file_error();
    if (error) return errno = error, -1;
    return real(from, to);
}
