/**
 * Decisions about the accepted configuration: which revision is in force in this process
 * and how an operator's plan becomes the next revision. No I/O.
 */
package org.almondmount.configuration;
