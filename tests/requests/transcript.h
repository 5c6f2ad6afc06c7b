/** @file
 * Replays a session written as text and records the resulting actions.
 *
 * A line "> 120 call 1 service=letters ..." is an event at 120 ms; the lines
 * "< ..." below it are the expected actions.  "#" starts a comment.
 */
#ifndef TESTS_TRANSCRIPT_H
#define TESTS_TRANSCRIPT_H

/** Replay the session in the file PATH.  Returns its text with the actual
 * actions; free() it. */
char *transcript_play (const char *path);

/** Return the contents of the file PATH, or NULL; free() it. */
char *transcript_read (const char *path);

#endif
