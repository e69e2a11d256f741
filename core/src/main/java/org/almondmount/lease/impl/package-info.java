/**
 * The lease manager of an entry.
 */
package org.almondmount.lease.impl;
