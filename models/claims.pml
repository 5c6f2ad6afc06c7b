/* The claim log (libberyl/requests/claim_*.c): two nodes that both believe to
 * be a shard's home claim the same free key, because its caller tried again
 * at another node.
 *
 * Modelled: pauses at every line, replicas that lag, lost replies, writes that
 * take effect after their sender has tried again, other batches in between,
 * crashes.  Not modelled: folding and deletion of segments, whose safety
 * rests on time (delete_after_ms), and retention.
 *
 * Checked: the key's call runs at most once, and no home reports as taken a
 * claim that the log granted to itself.
 *
 * Variants with one guard off, which must fail:
 *   NO_FENCE     create overwrites instead of only if absent
 *   NO_REREAD    after a lost race the other's segment is not read
 *   NO_NONCE     a conflict after a lost reply is taken for one's own write
 *   NO_READ_BACK a conflict after a lost reply is taken for another's write
 */

#define SEGMENTS 4
#define OTHER_BATCHES 1
#define NONCES 8

byte nonce[SEGMENTS];   /* of the writer; 0: no object */
bool has_key[SEGMENTS]; /* the segment claims the key */
byte last_nonce = 0;
byte key_owner = 255; /* whose segment claimed the key first */
byte runs = 0;

typedef write {
  bool waiting; /* in the network */
  byte place;
  byte nonce;
  bool key;
};

write late[2];

inline commit (who, at, number, with_key)
{
  nonce[at] = number;
  has_key[at] = with_key;
  if
  :: with_key && key_owner == 255 -> key_owner = who
  :: else
  fi
}

/* Delivers writes that their sender has given up. */
active proctype network ()
{
  byte i;

end:
  do
  :: atomic {
       (late[0].waiting || late[1].waiting) ->
       if
       :: late[0].waiting -> i = 0
       :: late[1].waiting -> i = 1
       fi;
       late[i].waiting = false;
       if
       :: nonce[late[i].place] == 0 ->
          commit (i, late[i].place, late[i].nonce, late[i].key)
       :: else
       fi
     }
  od
}

proctype home (byte me)
{
  byte next = 0;
  byte mine;
  byte others = OTHER_BATCHES;
  bool known = false;
  bool key;
  bool unsure;
  bool ran = false;

read:
  /* Any prefix of the log, since a replica may lag. */
  do
  :: atomic {
       next < SEGMENTS && nonce[next] != 0 ->
       known = known || has_key[next];
       next++
     }
  :: break
  od;
  if
  :: known -> goto taken
  :: !known && next < SEGMENTS
  :: !known && next == SEGMENTS -> goto done /* the model's log is full */
  fi;
  atomic {
    if
    :: key = true
    :: others > 0 -> others--; key = false
    fi;
    unsure = false;
    last_nonce++;
    mine = last_nonce
  };
  if
  :: last_nonce > NONCES -> goto done
  :: else
  fi;

create:
  if
  :: goto done /* crash */
#ifdef NO_FENCE
  :: atomic { true -> commit (me, next, mine, key) };
#else
  :: atomic { nonce[next] == 0 -> commit (me, next, mine, key) };
#endif
     if
     :: goto granted
     :: unsure = true; goto create /* the reply is lost */
     fi
  :: atomic {
       !late[me].waiting && !unsure ->
       late[me].waiting = true;
       late[me].place = next;
       late[me].nonce = mine;
       late[me].key = key
     };
     unsure = true;
     goto create
  :: nonce[next] != 0 -> goto conflict
  fi;

conflict:
#ifdef NO_NONCE
  if
  :: unsure -> goto granted
  :: else
  fi;
#else
#ifndef NO_READ_BACK
  if
  :: unsure && nonce[next] == mine -> goto granted
  :: else
  fi;
#endif
#endif
#ifdef NO_REREAD
  next++;
#else
  atomic { known = known || has_key[next]; next++ };
#endif
  goto read;

granted:
  next++;
  if
  :: key ->
     runs++;
     assert (runs <= 1);
     ran = true;
     goto done
  :: else -> goto read
  fi;

taken:
  assert (key_owner != me || ran);

done:
  skip
}

init
{
  atomic { run home (0); run home (1) }
}
