/* Preloaded into a process: every FAIL_ACCEPT_ONE_IN-th accept fails, by turns with each transient error. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, ECONNABORTED, EPERM};

static int fails(void) {
    static unsigned calls, failures;
    const char *one_in = getenv("FAIL_ACCEPT_ONE_IN");
    if (one_in == NULL || ++calls % (unsigned) atoi(one_in) != 0) {
        return 0;
    }
    errno = errors[failures++ % (sizeof errors / sizeof errors[0])];
    return 1;
}

int accept(int socket, struct sockaddr *address, socklen_t *length) {
    static int (*real)(int, struct sockaddr *, socklen_t *);
    if (real == NULL) {
        *(void **) &real = dlsym(RTLD_NEXT, "accept");
    }
    return fails() ? -1 : real(socket, address, length);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (real == NULL) {
        *(void **) &real = dlsym(RTLD_NEXT, "accept4");
    }
    return fails() ? -1 : real(socket, address, length, flags);
}
