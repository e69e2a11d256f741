package org.almondmount.lease;

import org.almondmount.model.EntryId;

/**
 * The row that names the holder of the scheduler's lease. Immutable.
 *
 * @param holder the entry that wrote the row
 * @param epoch incremented by each takeover
 * @param lengthMillis how long an observer has to see the row unchanged before it may
 * take the lease over
 * @param commit the number of the holder's commit that wrote the row, by which a holder
 * recognizes which of its own commits took effect
 * @param address where the holder accepts peers
 * @param released whether the holder released the lease, so that it may be taken over at
 * once
 */
public record LeaseRow(EntryId holder, long epoch, long lengthMillis, long commit, String address, boolean released) {

}
