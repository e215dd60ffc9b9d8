#ifndef GV_LOG_H
#define GV_LOG_H

/* Severities with the numbers of syslog (RFC 5424, section 6.2.1). */
enum log_level {
    LOG_LEVEL_CRIT = 2,
    LOG_LEVEL_ERR = 3,
    LOG_LEVEL_WARNING = 4,
    LOG_LEVEL_NOTICE = 5,
    LOG_LEVEL_INFO = 6,
    LOG_LEVEL_DEBUG = 7,
};

/* Sets the name that each line carries and the least severity written. */
void
log_init(const char *ident, enum log_level max_level);

/*
 * Writes one line to standard error: time (RFC 3339), ident, process id,
 * <severity>, text. Safe to call from any thread.
 */
void
log_write(enum log_level level, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
