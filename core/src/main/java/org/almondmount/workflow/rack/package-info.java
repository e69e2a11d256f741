/**
 * How long a gang that is slow across racks waits for capacity in one rack.
 */
package org.almondmount.workflow.rack;
