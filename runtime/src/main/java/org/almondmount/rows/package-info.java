/**
 * Durable rows: the interface through which the workflow programs store the state that
 * has to outlive their processes. Installations provide the implementation.
 */
package org.almondmount.rows;
