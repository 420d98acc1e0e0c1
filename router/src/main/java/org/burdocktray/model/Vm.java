package org.burdocktray.model;

/**
 * One entry VM of the fleet. Thread safety: immutable.
 *
 * @param name the unique name of the VM
 * @param dataCentre the data centre the VM runs in
 * @param peerAddress the address at which the other VMs reach it
 */
public record Vm(String name, DataCentre dataCentre, NetworkAddress peerAddress) {

}
