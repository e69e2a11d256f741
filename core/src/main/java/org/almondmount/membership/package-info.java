/**
 * Discovery of the other entries from rows, targets and peers. No I/O.
 */
package org.almondmount.membership;
