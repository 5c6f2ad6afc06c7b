/** @file
 * Plays a session that is written as text and compares what comes out.
 *
 * A line "> 120 call 1 service=letters ..." is an event at 120 ms; the lines
 * "< ..." below it are the actions that it must cause.  "#" begins a comment.
 */
#ifndef TESTS_TRANSCRIPT_H
#define TESTS_TRANSCRIPT_H

/** Play the file at PATH.  Returns what the session should have looked
 * like, with the actions that really came; free() it. */
char *transcript_play (const char *path);

/** Return the file's text, or NULL; free() it. */
char *transcript_read (const char *path);

#endif
