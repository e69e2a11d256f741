/**
 * The services that the platform gives: table, object store, workers, service instances.
 */
package org.almondmount.standins.platform;
