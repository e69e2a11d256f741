package org.almondmount.term;

/**
 * The row that says who may decide. Immutable.
 *
 * @param holder one run of one entry; never used by another run
 * @param address where the holder accepts peers
 * @param epoch grows by one with each term
 * @param commit the number of the holder's commit that wrote the row; it tells a holder
 * whether a commit whose answer was lost took effect
 * @param lengthMillis how long others have to see the row unchanged before they may take
 * the term
 * @param released whether the holder gave the term up
 */
public record TermRow(String holder, String address, long epoch, long commit, long lengthMillis, boolean released) {

}
