/** @file
 * Heads of answers, each with its empty line, that are no HTTP/1.1 by RFC 9110
 * and RFC 9112, and odd ones that are.  The readers of answers share them.
 */
#ifndef TESTS_H1_ANSWER_HEADS_H
#define TESTS_H1_ANSWER_HEADS_H

#define ANSWER_BEGIN "HTTP/1.1 200 OK\r\nX-First: 1\r\n"

/** Status lines that state no status. */
static const char *const answers_without_status[] = {
  "HTTP/1.1 000 OK\r\n\r\n",
  "HTTP/1.1 000\r\n\r\n",
  "HTTP/1.1 0 OK\r\n\r\n",
  "HTTP/1.1 099 OK\r\n\r\n",
  "HTTP/1.1 20 OK\r\n\r\n",
  "HTTP/1.1 0200 OK\r\n\r\n",
  "HTTP/1.1 2000 OK\r\n\r\n",
  "HTTP/1.1 600 Odd\r\n\r\n",
  "HTTP/1.1 999 Odd\r\n\r\n",
  "HTTP/1.1 -200 OK\r\n\r\n",
  "HTTP/1.1 2x0 OK\r\n\r\n",
  "HTTP/1.1 OK\r\n\r\n",
  "HTTP/1.1\r\n\r\n",
  "HTTP/1.1  200 OK\r\n\r\n",
  "HTTP/1.1 200OK\r\n\r\n",
  "HTTP/2.0 200 OK\r\n\r\n",
  "HTTP/0.9 200 OK\r\n\r\n",
  "HTTP/1.10 200 OK\r\n\r\n",
  "http/1.1 200 OK\r\n\r\n",
  " HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 200 O\x01K\r\n\r\n",
  "HTTP/1.1 200 O\x7fK\r\n\r\n",
  "HTTP/1.1 200 O\rK: 1\r\n\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
  "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

/** Lines that are no fields. */
static const char *const answers_with_broken_fields[] = {
  ANSWER_BEGIN "X Odd: 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd : 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd\t: 1\r\n\r\n",
  ANSWER_BEGIN "Content-Length : 3\r\n\r\n",
  ANSWER_BEGIN "Content Length: 3\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding : chunked\r\n\r\n",
  ANSWER_BEGIN "X\x01Odd: 1\r\n\r\n",
  ANSWER_BEGIN "\x01X-Odd: 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd\x1f: 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd\x7f: 1\r\n\r\n",
  ANSWER_BEGIN "X\tOdd: 1\r\n\r\n",
  ANSWER_BEGIN "X\rOdd: 1\r\n\r\n",
  ANSWER_BEGIN "X(Odd): 1\r\n\r\n",
  ANSWER_BEGIN "X-\xe9: 1\r\n\r\n",
  ANSWER_BEGIN ": 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd\r\n\r\n",
  ANSWER_BEGIN "X-Odd\r\nX-Next: 1\r\n\r\n",
  ANSWER_BEGIN "X-Odd: \x01\r\n\r\n",
  ANSWER_BEGIN "X-Odd: a\x1b[0mb\r\n\r\n",
  ANSWER_BEGIN "X-Odd: a\x7f\r\n\r\n",
  ANSWER_BEGIN "X-Odd: a\rX-Next: 1\r\n\r\n",
  "HTTP/1.1 200 OK\r\n X-First: 1\r\n\r\n",
  "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

/** Lines that frame the body in no way that a reader knows. */
static const char *const answers_with_unknown_framing[] = {
  ANSWER_BEGIN "Content-Length:\r\n\r\n",
  ANSWER_BEGIN "Content-Length: 3x\r\n\r\n",
  ANSWER_BEGIN "Content-Length: +3\r\n\r\n",
  ANSWER_BEGIN "Content-Length: 3, 3\r\n\r\n",
  ANSWER_BEGIN "Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
  ANSWER_BEGIN "Content-Length: 99999999999999999999999\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding:\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: gzip\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: , chunked\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: chunkedx\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: gzip, chunked\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: chunked, gzip\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
  ANSWER_BEGIN "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\n",
};

/** Chunked bodies that are none. */
static const char *const broken_chunks[] = {
  "3\r\nabcXY0\r\n\r\n",
  "3\r\nabc\rX0\r\n\r\n",
  "3\r\nabcX\n0\r\n\r\n",
  "3\rXabc\r\n0\r\n\r\n",
  "3;a\rXabc\r\n0\r\n\r\n",
  "3;a=\x01\r\nabc\r\n0\r\n\r\n",
  "\r\n3\r\nabc\r\n0\r\n\r\n",
  "+3\r\nabc\r\n0\r\n\r\n",
  "0x3\r\nabc\r\n0\r\n\r\n",
  "xyz\r\nabc\r\n0\r\n\r\n",
  "11111111111111113\r\nabc\r\n0\r\n\r\n",
  "3\r\nabc\r\n0\r\nX Odd: 1\r\n\r\n",
  "3\r\nabc\r\n0\r\nX-Odd\r\n\r\n",
  "3\r\nabc\r\n0\r\nX-Odd: \x01\r\n\r\n",
};

/** Odd ones that are. */
static const char *const odd_chunks[] = {
  "3\r\nabc\r\n0\r\n\r\n",
  "003\r\nabc\r\n000\r\n\r\n",
  "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
  "3;a=\"b c\"\r\nabc\r\n0;a\r\nX-Trailer: 1\r\n\r\n",
  "3 ;a\r\nabc\r\n0\r\nX-Trailer: 1\r\n 2\r\n\r\nAND MORE",
};

/** What a reader of answers takes, odd as it looks. */
static const char *const odd_answers[] = {
  ANSWER_BEGIN "\r\n",
  ANSWER_BEGIN "!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
  ANSWER_BEGIN "x-odd:1\r\n\r\n",
  ANSWER_BEGIN "X-Odd:\r\n\r\n",
  ANSWER_BEGIN "X-Odd: \t \r\n\r\n",
  ANSWER_BEGIN "X-Odd:\t a\tb  c \t\r\n\r\n",
  ANSWER_BEGIN "X-Odd: caf\xe9 \xc3\xa9 :;()\"\\\r\n\r\n",
  ANSWER_BEGIN "X-Odd: a\r\n b\r\n\tc\r\nX-Next: 1\r\n\r\n",
  "\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 200 \r\n\r\n",
  "HTTP/1.1 200\r\n\r\n",
  "HTTP/1.1 200 tr\xc3\xa8s\tbien (1)\r\n\r\n",
  "HTTP/1.0 200 OK\r\n\r\n",
  "HTTP/1.1 200 OK\nX-Odd: 1\n\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

#endif
