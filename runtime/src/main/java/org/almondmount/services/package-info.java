/**
 * Clients of the platform services: the transactional table, the object store and the
 * worker that a target controls.
 */
package org.almondmount.services;
