/**
 * Intents of operators and the plans computed for them.
 */
package org.almondmount.plan;
