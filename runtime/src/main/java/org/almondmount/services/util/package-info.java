/**
 * Helpers for clients and stand-ins of the platform.
 */
package org.almondmount.services.util;
