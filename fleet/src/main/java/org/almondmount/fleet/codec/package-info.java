/**
 * What is kept, as text.
 */
package org.almondmount.fleet.codec;
