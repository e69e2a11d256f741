/**
 * Utilities shared by the clients and the stand-ins of the platform services.
 */
package org.almondmount.services.util;
