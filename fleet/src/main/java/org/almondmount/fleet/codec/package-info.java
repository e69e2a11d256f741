/**
 * The encoding of stored rows as text.
 */
package org.almondmount.fleet.codec;
