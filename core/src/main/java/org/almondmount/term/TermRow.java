package org.almondmount.term;

/**
 * The row that names the holder of the term. Immutable.
 *
 * @param holder one run of one entry; never used by another run
 * @param address where the holder accepts peers
 * @param epoch incremented by each term
 * @param commit the number of the holder's commit that wrote the row, by which a holder
 * recognizes whether a commit with a lost answer took effect
 * @param lengthMillis how long other entries have to see the row unchanged before they
 * may take the term
 * @param released whether the holder released the term
 */
public record TermRow(String holder, String address, long epoch, long commit, long lengthMillis, boolean released) {

}
