/**
 * Clients of the platform: the transactional table service, the object store and the
 * worker beside a target.
 */
package org.almondmount.services;
