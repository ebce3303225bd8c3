/* The state of a request that the threads of the caller, the HTTP client and the reducer share.
 *
 * Everything mutable is protected by the exchange's lock; a thread never holds
 * the locks of two exchanges.  A connection is suspended and resumed under the
 * lock, and the flag "suspended" records its state, so that a resume is never
 * lost or done twice.
 */
#include "internal/exchange.h"

#include <string.h>

struct pl_exchange *
pl_exchange_new (uint64_t id)
{
  struct pl_exchange *exchange = g_new0 (struct pl_exchange, 1);

  exchange->references = 1;
  exchange->id = id;
  g_mutex_init (&exchange->lock);
  exchange->headers = g_ptr_array_new_with_free_func (g_free);
  exchange->answer_headers = g_ptr_array_new_with_free_func (g_free);
  exchange->body.bytes = g_byte_array_new ();
  exchange->answer.bytes = g_byte_array_new ();
  exchange->answer_length = -1;
  return exchange;
}

struct pl_exchange *
pl_exchange_ref (struct pl_exchange *exchange)
{
  g_atomic_int_inc (&exchange->references);
  return exchange;
}

void
pl_exchange_unref (struct pl_exchange *exchange)
{
  if (exchange == NULL || !g_atomic_int_dec_and_test (&exchange->references))
    return;
  pl_http_call_unref (exchange->call);
  g_byte_array_free (exchange->body.bytes, TRUE);
  g_byte_array_free (exchange->answer.bytes, TRUE);
  g_ptr_array_free (exchange->headers, TRUE);
  g_ptr_array_free (exchange->answer_headers, TRUE);
  g_free (exchange->method);
  g_free (exchange->target);
  g_free (exchange->raw_target);
  g_mutex_clear (&exchange->lock);
  g_free (exchange);
}

void
pl_exchange_suspend (struct pl_exchange *exchange)
{
  if (exchange->suspended)
    return;
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
}

void
pl_exchange_resume (struct pl_exchange *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  MHD_resume_connection (exchange->connection);
}

size_t
pl_pipe_unread (const struct pl_pipe *pipe)
{
  return pipe->bytes->len - pipe->read_offset;
}

void
pl_pipe_append (struct pl_pipe *pipe, const void *bytes, size_t length)
{
  g_byte_array_append (pipe->bytes, bytes, (guint) length);
}

size_t
pl_pipe_read (struct pl_pipe *pipe, void *bytes, size_t length, bool keep)
{
  size_t count = MIN (length, pl_pipe_unread (pipe));

  memcpy (bytes, pipe->bytes->data + pipe->read_offset, count);
  pipe->read_offset += count;
  if (!keep && pipe->read_offset == pipe->bytes->len)
    {
      g_byte_array_set_size (pipe->bytes, 0);
      pipe->read_offset = 0;
    }
  else if (!keep && pipe->read_offset > PL_BODY_WINDOW)
    {
      g_byte_array_remove_range (pipe->bytes, 0, (guint) pipe->read_offset);
      pipe->read_offset = 0;
    }
  return count;
}
