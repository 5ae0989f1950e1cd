/* A library that is loaded into a dispatcher's process with LD_PRELOAD and lets its system calls fail.
 *
 * The environment gives the faults: FAULT_SEED, and in percent of the calls FAULT_ACCEPT, FAULT_SOCKET,
 * FAULT_CONNECT, FAULT_SHORT (reads and writes of a part), FAULT_EINTR (writes and waits).
 * FAULT_BROKEN=1 lets broken connections fail with ETIMEDOUT or EHOSTUNREACH. FAULT_CLOCK holds steps
 * of the system time, as SECONDS:MILLISECONDS,..., counted from the start of the process.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MAX_STEPS 16

static uint64_t state;
static int accept_percent, socket_percent, connect_percent, short_percent, eintr_percent, broken;
static struct { long at_s, by_ms; } steps[MAX_STEPS];
static int step_count;
static struct timespec started;

#define REAL(name) ((__typeof__(&name))real(#name))

static void *real(const char *name) { return dlsym(RTLD_NEXT, name); }

static int percent(const char *name) {
    const char *text = getenv(name);
    return text ? atoi(text) : 0;
}

__attribute__((constructor)) static void start(void) {
    const char *seed = getenv("FAULT_SEED");
    state = (seed ? strtoull(seed, NULL, 10) : 1) * 0x9e3779b97f4a7c15u + 1;
    accept_percent = percent("FAULT_ACCEPT");
    socket_percent = percent("FAULT_SOCKET");
    connect_percent = percent("FAULT_CONNECT");
    short_percent = percent("FAULT_SHORT");
    eintr_percent = percent("FAULT_EINTR");
    broken = percent("FAULT_BROKEN");
    REAL(clock_gettime)(CLOCK_MONOTONIC, &started);
    char *text = getenv("FAULT_CLOCK");
    while (text && *text && step_count < MAX_STEPS) {
        steps[step_count].at_s = strtol(text, &text, 10);
        if (*text++ != ':')
            break;
        steps[step_count++].by_ms = strtol(text, &text, 10);
        if (*text == ',')
            text++;
    }
}

static unsigned draw(unsigned below) {
    uint64_t next = __atomic_add_fetch(&state, 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    next = (next ^ next >> 30) * 0xbf58476d1ce4e5b9u;
    next = (next ^ next >> 27) * 0x94d049bb133111ebu;
    return (unsigned)((next ^ next >> 31) % below);
}

static int happens(int chance) { return chance > 0 && (int)draw(100) < chance; }

static int fail(const int *errors, unsigned count) {
    errno = errors[draw(count)];
    return -1;
}

/* Signals reach the process through a pair of Unix sockets, which has no such faults. */
static int is_tcp(int fd) {
    int domain = 0, saved = errno;
    socklen_t length = sizeof domain;
    int result = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = saved;
    return result;
}

static size_t shortened(int fd, size_t length) {
    if (length > 1 && happens(short_percent) && is_tcp(fd))
        return 1 + draw(length - 1);
    return length;
}

static ssize_t ended(ssize_t result) {
    if (result < 0 && broken && (errno == ECONNRESET || errno == EPIPE))
        errno = draw(2) ? ETIMEDOUT : EHOSTUNREACH;
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    if (happens(accept_percent))
        return fail(errors, 4);
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    if (domain == AF_INET && happens(socket_percent))
        return fail(errors, 2);
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS};
    if (address->sa_family == AF_INET && happens(connect_percent))
        return fail(errors, 3);
    return REAL(connect)(fd, address, length);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    return ended(REAL(recv)(fd, bytes, shortened(fd, length), flags));
}

ssize_t send(int fd, const void *bytes, size_t length, int flags) {
    static const int errors[] = {EINTR};
    if (happens(eintr_percent) && is_tcp(fd))
        return fail(errors, 1);
    return ended(REAL(send)(fd, bytes, shortened(fd, length), flags));
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    static const int errors[] = {EINTR};
    if (happens(eintr_percent))
        return fail(errors, 1);
    return REAL(epoll_wait)(fd, events, count, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    struct timespec now;
    if (result != 0 || clock != CLOCK_REALTIME || step_count == 0)
        return result;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    for (int step = 0; step < step_count; step++) {
        if (now.tv_sec - started.tv_sec < steps[step].at_s)
            continue;
        int64_t nanoseconds = time->tv_nsec + (steps[step].by_ms % 1000) * 1000000;
        time->tv_sec += steps[step].by_ms / 1000 + (nanoseconds >= 1000000000) - (nanoseconds < 0);
        time->tv_nsec = (nanoseconds + 1000000000) % 1000000000;
    }
    return 0;
}
