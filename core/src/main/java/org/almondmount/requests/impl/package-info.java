/**
 * The request router: the ledger of requests, the fair queue, the choice of targets and
 * the retry budget, each a module of its own. Nothing here is thread-safe.
 */
package org.almondmount.requests.impl;
