"""Identifier types that all packages share."""

import typing

RouterId = typing.NewType('RouterId', str)
EngineId = typing.NewType('EngineId', str)
ServiceId = typing.NewType('ServiceId', str)
OrgId = typing.NewType('OrgId', str)
ChatId = typing.NewType('ChatId', str)
RequestId = typing.NewType('RequestId', str)
ModelId = typing.NewType('ModelId', str)
VersionId = typing.NewType('VersionId', str)
ZoneId = typing.NewType('ZoneId', str)
RegionId = typing.NewType('RegionId', str)
HostId = typing.NewType('HostId', str)
CallKey = typing.NewType('CallKey', str)
Fingerprint = typing.NewType('Fingerprint', str)
OrderId = typing.NewType('OrderId', str)
SettingsVersion = typing.NewType('SettingsVersion', int)
