#include "wire/gossip.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_MAX 4096

enum message_field
{
  MESSAGE_TYPE = 1,
  MESSAGE_SEQUENCE,
  MESSAGE_FROM,
  MESSAGE_FROM_INCARNATION,
  MESSAGE_TARGET,
  MESSAGE_CONFIG_VERSION,
  MESSAGE_FRESH_MS,
  MESSAGE_UPDATES,
  MESSAGE_CONFIG_APPLIED,
  MESSAGE_CONFIG_HEARD,
};

enum member_field
{
  MEMBER_NAME = 1,
  MEMBER_ADDRESS,
  MEMBER_PORT,
  MEMBER_DATA_CENTRE,
  MEMBER_REGION,
  MEMBER_INCARNATION,
  MEMBER_STATE,
  MEMBER_LEAVING,
  MEMBER_ROLES,
  MEMBER_ENTRY_INCARNATION,
  MEMBER_HTTP_PORT,
  MEMBER_PEER_PORT,
};

enum body_field
{
  BODY_VALUE = 1,
};

/* Fields that hold their default are left out to save bytes. */
static void
put_member (struct frame_writer *writer, const struct beryl_member *m)
{
  frame_put_map (writer, 0);
  frame_put_string (writer, MEMBER_NAME, m->name);
  frame_put_string (writer, MEMBER_ADDRESS, m->address);
  frame_put_uint (writer, MEMBER_PORT, m->port);
  frame_put_string (writer, MEMBER_DATA_CENTRE, m->data_centre);
  frame_put_string (writer, MEMBER_REGION, m->region);
  frame_put_uint (writer, MEMBER_INCARNATION, m->incarnation);
  if (m->state != BERYL_MEMBER_ALIVE)
    frame_put_uint (writer, MEMBER_STATE, m->state);
  if (m->leaving)
    frame_put_bool (writer, MEMBER_LEAVING, true);
  if (m->roles != 0)
    frame_put_uint (writer, MEMBER_ROLES, m->roles);
  if (m->entry_incarnation != 0)
    {
      frame_put_uint (writer, MEMBER_ENTRY_INCARNATION, m->entry_incarnation);
      frame_put_uint (writer, MEMBER_HTTP_PORT, m->http_port);
      frame_put_uint (writer, MEMBER_PEER_PORT, m->peer_port);
    }
  frame_put_end (writer);
}

static uint16_t
read_port (struct frame_map map, uint32_t key)
{
  uint64_t port = frame_uint (map, key, 0);

  if (port > UINT16_MAX)
    frame_fail (map.frame);
  return (uint16_t)port;
}

static void
read_member (struct frame_map map, struct beryl_member *m)
{
  uint64_t state = frame_uint (map, MEMBER_STATE, BERYL_MEMBER_ALIVE);

  memset (m, 0, sizeof *m);
  frame_need_string (map, MEMBER_NAME, m->name, sizeof m->name);
  frame_need_string (map, MEMBER_ADDRESS, m->address, sizeof m->address);
  m->port = read_port (map, MEMBER_PORT);
  frame_need_string (map, MEMBER_DATA_CENTRE, m->data_centre,
                     sizeof m->data_centre);
  frame_need_string (map, MEMBER_REGION, m->region, sizeof m->region);
  m->incarnation = frame_need_uint (map, MEMBER_INCARNATION);
  if (state > BERYL_MEMBER_DEAD)
    frame_fail (map.frame);
  m->state = (enum beryl_member_state)state;
  m->leaving = frame_bool (map, MEMBER_LEAVING, false);
  m->roles = (uint32_t)frame_uint (map, MEMBER_ROLES, 0);
  m->entry_incarnation = frame_uint (map, MEMBER_ENTRY_INCARNATION, 0);
  m->http_port = read_port (map, MEMBER_HTTP_PORT);
  m->peer_port = read_port (map, MEMBER_PEER_PORT);
}

void
gossip_put (struct frame_writer *writer, const struct beryl_gossip *message)
{
  frame_writer_reset (writer, GOSSIP_DATAGRAM);
  frame_put_uint (writer, MESSAGE_TYPE, message->type);
  if (message->sequence != 0)
    frame_put_uint (writer, MESSAGE_SEQUENCE, message->sequence);
  frame_put_string (writer, MESSAGE_FROM, message->from);
  frame_put_uint (writer, MESSAGE_FROM_INCARNATION, message->from_incarnation);
  if (message->target[0] != '\0')
    frame_put_string (writer, MESSAGE_TARGET, message->target);
  frame_put_uint (writer, MESSAGE_CONFIG_VERSION, message->config_version);
  if (message->config_applied != message->config_version)
    frame_put_uint (writer, MESSAGE_CONFIG_APPLIED, message->config_applied);
  if (message->config_heard > message->config_version)
    frame_put_uint (writer, MESSAGE_CONFIG_HEARD, message->config_heard);
  if (message->config_age_ms != BERYL_CONFIG_AGE_UNKNOWN)
    frame_put_uint (writer, MESSAGE_FRESH_MS, message->config_age_ms);
  if (message->update_count == 0)
    return;
  frame_put_array (writer, MESSAGE_UPDATES);
  for (size_t i = 0; i < message->update_count; i++)
    put_member (writer, &message->updates[i]);
  frame_put_end (writer);
}

bool
gossip_read (struct frame *frame, struct beryl_gossip *message)
{
  struct frame_map map = frame_root (frame);
  struct frame_array updates = frame_array (map, MESSAGE_UPDATES);
  uint64_t type = frame_need_uint (map, MESSAGE_TYPE);
  uint64_t sequence = frame_uint (map, MESSAGE_SEQUENCE, 0);
  uint64_t fresh_ms
      = frame_uint (map, MESSAGE_FRESH_MS, BERYL_CONFIG_AGE_UNKNOWN);

  memset (message, 0, sizeof *message);
  if (frame_type (frame) != GOSSIP_DATAGRAM || type < BERYL_GOSSIP_PING
      || type > BERYL_GOSSIP_UPDATE || sequence > UINT32_MAX
      || fresh_ms > UINT32_MAX || updates.count > BERYL_GOSSIP_UPDATES_MAX)
    return false;
  message->type = (enum beryl_gossip_type)type;
  message->sequence = (uint32_t)sequence;
  message->config_age_ms = (uint32_t)fresh_ms;
  frame_need_string (map, MESSAGE_FROM, message->from, sizeof message->from);
  message->from_incarnation = frame_need_uint (map, MESSAGE_FROM_INCARNATION);
  frame_string (map, MESSAGE_TARGET, message->target, sizeof message->target);
  message->config_version = frame_uint (map, MESSAGE_CONFIG_VERSION, 0);
  message->config_applied
      = frame_uint (map, MESSAGE_CONFIG_APPLIED, message->config_version);
  message->config_heard
      = frame_uint (map, MESSAGE_CONFIG_HEARD, message->config_version);
  for (uint32_t i = 0; i < updates.count; i++)
    read_member (frame_array_map (updates, i),
                 &message->updates[message->update_count++]);
  return frame_valid (frame);
}

void
gossip_put_members (struct frame_writer *writer,
                    const struct beryl_membership *m)
{
  frame_writer_reset (writer, GOSSIP_MEMBERS);
  frame_put_array (writer, BODY_VALUE);
  for (size_t i = 0; i < beryl_membership_count (m); i++)
    if (beryl_membership_get (m, i)->incarnation != 0)
      put_member (writer, beryl_membership_get (m, i));
  frame_put_end (writer);
}

struct beryl_member *
gossip_read_members (struct frame *frame, size_t *count)
{
  struct frame_array array = frame_array (frame_root (frame), BODY_VALUE);
  struct beryl_member *members;

  *count = 0;
  if (array.count == 0 || array.count > MEMBERS_MAX)
    return NULL;
  members = calloc (array.count, sizeof *members);
  if (members == NULL)
    return NULL;
  for (uint32_t i = 0; i < array.count; i++)
    read_member (frame_array_map (array, i), &members[i]);
  if (!frame_valid (frame))
    {
      free (members);
      return NULL;
    }
  *count = array.count;
  return members;
}

void
gossip_put_number (struct frame_writer *writer, enum gossip_frame type,
                   uint64_t number)
{
  frame_writer_reset (writer, (uint16_t)type);
  frame_put_uint (writer, BODY_VALUE, number);
}

bool
gossip_read_number (struct frame *frame, uint64_t *number)
{
  *number = frame_need_uint (frame_root (frame), BODY_VALUE);
  return frame_valid (frame);
}

void
gossip_put_text (struct frame_writer *writer, enum gossip_frame type,
                 const char *text, size_t bytes_count)
{
  frame_writer_reset (writer, (uint16_t)type);
  frame_put_bytes (writer, BODY_VALUE, text, bytes_count);
}

const char *
gossip_read_text (struct frame *frame, size_t *bytes_count)
{
  const void *bytes
      = frame_bytes (frame_root (frame), BODY_VALUE, bytes_count);

  return frame_valid (frame) ? bytes : NULL;
}
