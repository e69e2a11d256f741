/**
 * The platform's balancer.
 */
package org.almondmount.standins.net;
