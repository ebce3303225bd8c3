/* gzip.h - gzip texts (RFC 1952) that are put together from parts which were compressed apart.
 *
 * API tier: private.
 */
#ifndef POMELOLATCH_GZIP_H
#define POMELOLATCH_GZIP_H

#include <glib.h>
#include <stddef.h>

/* A compressed part of a text.  It refers to no other part. */
struct pl_gzip_part
{
  GByteArray *bytes;
  gulong crc;         /* CRC-32 of the text */
  size_t text_length; /* in bytes */
};

/* Compresses a part, which is to be released with pl_gzip_part_clear(). */
struct pl_gzip_part pl_gzip_compress (const char *text, size_t length);
void pl_gzip_part_clear (struct pl_gzip_part *part);

/* Appends to BODY the gzip text that consists of PARTS. */
void pl_gzip_append (GString *body, const struct pl_gzip_part *parts, int count);

#endif
