/**
 * Clients of the platform services that use HTTP with JSON.
 */
package org.almondmount.services.impl;
