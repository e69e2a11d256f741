package org.almondmount;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

@AnalyzeClasses(packages = { "org.almondmount.wire", "org.almondmount.http", "org.almondmount.services",
		"org.almondmount.settings", "org.almondmount.concurrent", "org.almondmount.telemetry", "org.almondmount.net" },
		importOptions = DoNotIncludeTests.class)
class RuntimeArchitectureTests {

	@ArchTest
	final ArchRule publicPackagesDoNotDependOnNetworkLibraries = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("org.almondmount.wire", "org.almondmount.http", "org.almondmount.services",
				"org.almondmount.settings", "org.almondmount.concurrent", "org.almondmount.telemetry")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.netty..", "org.msgpack..");

	@ArchTest
	final ArchRule publicPackagesDoNotDependOnImplementations = ArchRuleDefinition.noClasses()
		.that()
		.resideOutsideOfPackage("..impl..")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("..impl..");

	@ArchTest
	final ArchRule packagesAreFreeOfCycles = SlicesRuleDefinition.slices()
		.matching("org.almondmount.(*)..")
		.should()
		.beFreeOfCycles();

	@ArchTest
	final ArchRule onlyWireImplementationDependsOnMessagePack = ArchRuleDefinition.noClasses()
		.that()
		.resideOutsideOfPackage("org.almondmount.wire.impl")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("org.msgpack..");

}
