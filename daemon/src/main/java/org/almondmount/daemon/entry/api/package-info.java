/**
 * The HTTP interface of an entry: routes, callers' tokens, documents and problems.
 */
package org.almondmount.daemon.entry.api;
