/* gzip texts from parts: see gzip.h.
 *
 * A part is a series of deflate blocks (RFC 1951) that ends at a byte and is not marked as the last
 * one, so that parts can follow one another.
 */
#include "internal/gzip.h"

#include <zlib.h>

/* Raw deflate: no head, no checksum. */
#define RAW_WINDOW_BITS (-MAX_WBITS)
#define MEMORY_LEVEL 8
/* Higher levels save few bytes and take much longer on the small hosts. */
#define COMPRESSION_LEVEL 5
#define CHUNK_BYTES 16384

static const guint8 gzip_head[] = {0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255};
/* An empty block that is marked as the last one. */
static const guint8 last_block[] = {0x03, 0x00};

struct pl_gzip_part
pl_gzip_compress (const char *text, size_t length)
{
  struct pl_gzip_part part = {.bytes = g_byte_array_new (), .text_length = length};
  z_stream stream = {.next_in = (z_const Bytef *) text, .avail_in = (uInt) length};
  guint8 chunk[CHUNK_BYTES];

  if (deflateInit2 (&stream, COMPRESSION_LEVEL, Z_DEFLATED, RAW_WINDOW_BITS, MEMORY_LEVEL,
                    Z_DEFAULT_STRATEGY)
      != Z_OK)
    g_error ("deflateInit2: out of memory");
  do
    {
      stream.next_out = chunk;
      stream.avail_out = sizeof chunk;
      deflate (&stream, Z_SYNC_FLUSH);
      g_byte_array_append (part.bytes, chunk, (guint) (sizeof chunk - stream.avail_out));
    }
  while (stream.avail_out == 0);
  deflateEnd (&stream);
  part.crc = crc32_z (crc32 (0, Z_NULL, 0), (const Bytef *) text, length);
  return part;
}

void
pl_gzip_part_clear (struct pl_gzip_part *part)
{
  if (part->bytes != NULL)
    g_byte_array_unref (part->bytes);
  *part = (struct pl_gzip_part){0};
}

static void
append_number (GString *body, guint32 number)
{
  guint32 bytes = GUINT32_TO_LE (number);

  g_string_append_len (body, (const char *) &bytes, sizeof bytes);
}

void
pl_gzip_append (GString *body, const struct pl_gzip_part *parts, int count)
{
  gulong crc = crc32 (0, Z_NULL, 0);
  size_t length = 0;

  g_string_append_len (body, (const char *) gzip_head, sizeof gzip_head);
  for (int i = 0; i < count; i++)
    {
      g_string_append_len (body, (const char *) parts[i].bytes->data, parts[i].bytes->len);
      crc = crc32_combine (crc, parts[i].crc, (z_off_t) parts[i].text_length);
      length += parts[i].text_length;
    }
  g_string_append_len (body, (const char *) last_block, sizeof last_block);
  append_number (body, (guint32) crc);
  append_number (body, (guint32) length);
}
