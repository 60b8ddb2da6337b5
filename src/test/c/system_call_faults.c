/*
 * A library for LD_PRELOAD that lets system calls of one process fail as Linux documents it.
 *
 * The test that starts the process shares a file with it (SYSTEM_CALL_FAULTS), whose layout is
 * struct fault_plan below; waytrestle.platform.FaultPlan writes the same layout. Rules may be changed
 * while the process runs. Built from this source by the tests, never part of the program.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { READ, WRITE, CONNECT, ACCEPT, EPOLL_WAIT, EPOLL_CTL, SETSOCKOPT, SOCKET_ERROR, SHUTDOWN,
            CLOSE, SOCKET, SEND, RECEIVE, SYNC, FCNTL, CALLS };
enum side { ANY, ACCEPTED, CONNECTED, LISTENING, DATAGRAM, REGULAR_FILE, OTHER };

#define MAX_RULES 16
#define MAX_DESCRIPTORS 65536

struct fault_rule {
    int32_t call;
    int32_t side;
    int32_t error;      /* errno, or 0 for a short read or write */
    int32_t permille;   /* chance of a matching call to fail */
    int32_t skip;       /* matching calls to let pass first */
    int32_t left;       /* failures left; negative: without limit */
    int32_t lasts_ms;   /* once failed, a descriptor goes on failing so long; negative: until closed */
    int32_t performs;   /* bytes of a short transfer; else: make the call before it is said to fail */
    int32_t port;       /* remote port of a connected socket, 0 for any; negative: any other */
    int32_t hits;       /* written by this library */
};

struct fault_plan {
    int32_t enabled;
    int32_t clock_offset_ms;
    struct fault_rule rules[MAX_RULES];
};

static struct fault_plan nothing;
static struct fault_plan *plan = &nothing;
static uint8_t side_of[MAX_DESCRIPTORS];
static uint16_t port_of[MAX_DESCRIPTORS];
static int64_t failing_until[MAX_DESCRIPTORS][CALLS];
static uint32_t random_state = 2463534242u;

#define REAL(name) static __typeof__(name) *real; if (!real) real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void share_plan(void) {
    const char *path = getenv("SYSTEM_CALL_FAULTS");
    const char *seed = getenv("SYSTEM_CALL_FAULTS_SEED");
    if (seed && atoi(seed) != 0) random_state = (uint32_t) atoi(seed) * 2654435761u;
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0) return;
    void *shared = mmap(NULL, sizeof *plan, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (shared != MAP_FAILED) plan = shared;
    close(fd);
}

static int real_clock(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    return real(clock, now);
}

static int64_t now_ms(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int known(int fd) { return fd >= 0 && fd < MAX_DESCRIPTORS; }

static int side(int fd) {
    if (!known(fd)) return OTHER;
    if (side_of[fd] == ANY) {
        struct stat about;
        int type = 0;
        socklen_t size = sizeof type;
        int saved = errno;
        if (fstat(fd, &about) == 0 && S_ISREG(about.st_mode)) side_of[fd] = REGULAR_FILE;
        else if (syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_DGRAM)
            side_of[fd] = DATAGRAM;
        else if (type != SOCK_STREAM) side_of[fd] = OTHER;
        errno = saved;
    }
    return side_of[fd];
}

static int by_chance(int permille) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return (int) (random_state % 1000) < permille;
}

static int matches(const struct fault_rule *rule, enum call call, int fd) {
    if (rule->permille == 0 || rule->call != (int) call) return 0;
    if (rule->side != ANY && rule->side != side(fd)) return 0;
    if (rule->port == 0) return 1;
    return known(fd) && (rule->port > 0 ? port_of[fd] == rule->port : port_of[fd] != -rule->port);
}

/* The rule by which this call fails now, or null. */
static struct fault_rule *fault(enum call call, int fd) {
    if (!plan->enabled) return NULL;
    for (int i = 0; i < MAX_RULES; i++) {
        struct fault_rule *rule = &plan->rules[i];
        if (!matches(rule, call, fd)) continue;
        if (rule->lasts_ms != 0 && known(fd) && failing_until[fd][call] > now_ms()) {
            rule->hits++;
            return rule;
        }
        if (rule->skip > 0) { rule->skip--; continue; }
        if (rule->left == 0 || !by_chance(rule->permille)) continue;
        if (rule->left > 0) rule->left--;
        if (rule->lasts_ms != 0 && known(fd))
            failing_until[fd][call] = rule->lasts_ms < 0 ? INT64_MAX : now_ms() + rule->lasts_ms;
        rule->hits++;
        return rule;
    }
    return NULL;
}

static void forget(int fd) {
    if (!known(fd)) return;
    side_of[fd] = ANY;
    port_of[fd] = 0;
    for (int call = 0; call < CALLS; call++) failing_until[fd][call] = 0;
}

static size_t shorter(const struct fault_rule *rule, size_t length) {
    size_t most = rule->performs > 0 ? (size_t) rule->performs : 1;
    return length < most ? length : most;
}

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(read);
    struct fault_rule *rule = fault(READ, fd);
    if (rule && rule->error) { errno = rule->error; return -1; }
    return real(fd, buffer, rule ? shorter(rule, length) : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write);
    struct fault_rule *rule = fault(WRITE, fd);
    if (rule && rule->error) { errno = rule->error; return -1; }
    return real(fd, buffer, rule ? shorter(rule, length) : length);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    REAL(readv);
    struct fault_rule *rule = fault(READ, fd);
    if (rule && rule->error) { errno = rule->error; return -1; }
    if (rule && count > 0) return read(fd, parts[0].iov_base, shorter(rule, parts[0].iov_len));
    return real(fd, parts, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    struct fault_rule *rule = fault(WRITE, fd);
    if (rule && rule->error) { errno = rule->error; return -1; }
    if (rule && count > 0) {
        struct iovec first = { parts[0].iov_base, shorter(rule, parts[0].iov_len) };
        return real(fd, &first, 1);
    }
    return real(fd, parts, count);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (known(fd)) {
        side_of[fd] = CONNECTED;
        if (address->sa_family == AF_INET) port_of[fd] = ntohs(((const struct sockaddr_in *) address)->sin_port);
        if (address->sa_family == AF_INET6) port_of[fd] = ntohs(((const struct sockaddr_in6 *) address)->sin6_port);
    }
    struct fault_rule *rule = fault(CONNECT, fd);
    if (!rule) return real(fd, address, length);
    if (rule->performs) real(fd, address, length);
    errno = rule->error;
    return -1;
}

int listen(int fd, int backlog) {
    REAL(listen);
    if (known(fd)) side_of[fd] = LISTENING;
    return real(fd, backlog);
}

static int accepted(int fd) {
    if (known(fd)) { forget(fd); side_of[fd] = ACCEPTED; }
    return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    struct fault_rule *rule = fault(ACCEPT, fd);
    if (rule) { errno = rule->error; return -1; }
    return accepted(real(fd, address, length));
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    struct fault_rule *rule = fault(ACCEPT, fd);
    if (rule) { errno = rule->error; return -1; }
    return accepted(real(fd, address, length, flags));
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    struct fault_rule *rule = fault(EPOLL_WAIT, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, events, most, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event) {
    REAL(epoll_ctl);
    struct fault_rule *rule = operation == EPOLL_CTL_DEL ? NULL : fault(EPOLL_CTL, target);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, operation, target, event);
}

int setsockopt(int fd, int level, int option, const void *value, socklen_t length) {
    REAL(setsockopt);
    struct fault_rule *rule = fault(SETSOCKOPT, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, level, option, value, length);
}

int getsockopt(int fd, int level, int option, void *value, socklen_t *length) {
    REAL(getsockopt);
    struct fault_rule *rule = level == SOL_SOCKET && option == SO_ERROR ? fault(SOCKET_ERROR, fd) : NULL;
    if (rule) { *(int *) value = rule->error; return 0; }
    return real(fd, level, option, value, length);
}

int shutdown(int fd, int how) {
    REAL(shutdown);
    struct fault_rule *rule = fault(SHUTDOWN, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, how);
}

int fcntl(int fd, int command, ...) {
    REAL(fcntl);
    __builtin_va_list more;
    __builtin_va_start(more, command);
    void *argument = __builtin_va_arg(more, void *);
    __builtin_va_end(more);
    struct fault_rule *rule = command == F_SETFL ? fault(FCNTL, fd) : NULL;
    if (rule) { errno = rule->error; return -1; }
    return real(fd, command, argument);
}

/* Linux frees the descriptor also where close reports an error. */
int close(int fd) {
    REAL(close);
    struct fault_rule *rule = fault(CLOSE, fd);
    forget(fd);
    int result = real(fd);
    if (rule) { errno = rule->error; return -1; }
    return result;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    struct fault_rule *rule = fault(SOCKET, -1);
    if (rule) { errno = rule->error; return -1; }
    int fd = real(domain, type, protocol);
    forget(fd);
    if (known(fd) && (type & 0xf) == SOCK_DGRAM) side_of[fd] = DATAGRAM;
    return fd;
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to, socklen_t size) {
    REAL(sendto);
    struct fault_rule *rule = fault(SEND, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, buffer, length, flags, to, size);
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *size) {
    REAL(recvfrom);
    struct fault_rule *rule = fault(RECEIVE, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd, buffer, length, flags, from, size);
}

int fsync(int fd) {
    REAL(fsync);
    struct fault_rule *rule = fault(SYNC, fd);
    if (rule) { errno = rule->error; return -1; }
    return real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = real_clock(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && plan->clock_offset_ms) {
        now->tv_sec += plan->clock_offset_ms / 1000;
        now->tv_nsec += (long) (plan->clock_offset_ms % 1000) * 1000000;
        if (now->tv_nsec < 0) { now->tv_nsec += 1000000000; now->tv_sec--; }
        if (now->tv_nsec >= 1000000000) { now->tv_nsec -= 1000000000; now->tv_sec++; }
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(now, zone);
    if (result == 0) now->tv_sec += plan->clock_offset_ms / 1000;
    return result;
}
