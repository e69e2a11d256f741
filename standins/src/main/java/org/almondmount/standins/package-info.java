/**
 * Small stand-ins for the platform's services, for tests and the demo only.
 */
package org.almondmount.standins;
