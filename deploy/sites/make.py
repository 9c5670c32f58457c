#!/usr/bin/env python3
"""Makes the sites of our own from those of the kit: make.py KIT [FOLDER].

Each NAME.edits.toml in FOLDER (this script's own, if none is given) names a site file of the kit and what is other in
NAME: FOLDER/NAME/NAME.toml is made, with what the bench wants beside it. It owns those made folders, which git passes
over. It must never pass over an edit that does not fit its source, nor leave a folder that is not whole."""
import json
import pathlib
import re
import shutil
import sys
import tempfile
import tomllib

# What lies beside a site file, where it is there.
BESIDE = ["real.json", "wire.json", "ops.json", "unlock.txt"]


class Mismatch(Exception):
    pass


def written(value):
    """A value as TOML has it; JSON's form is the same for all that sites hold."""
    return json.dumps(value, ensure_ascii=False)


def tables(lines):
    """Where each table's lines begin and end, by name: `day`, `class 0`; the top has none."""
    found, seen, name, begin = {}, {}, "", 0
    for at, line in enumerate(lines + ["[]"]):
        head = re.fullmatch(r"(\[?\[)([\w.]*)\]\]?", line.strip())
        if not head:
            continue
        if name in found:
            raise Mismatch(f"two tables [{name}]")
        found[name], begin = (begin, at), at + 1
        name = head[2]
        if head[1] == "[[":
            seen[name] = seen.get(name, -1) + 1
            name = f"{name} {seen[name]}"
    return found


def place(lines, table, key):
    """The number of a key's line, and where the table ends."""
    if table not in (all := tables(lines)):
        raise Mismatch(f"no table [{table}], wanted for '{key}'")
    begin, end = all[table]
    own = [i for i in range(begin, end) if re.match(rf"{re.escape(key)}\s*=", lines[i])]
    return (own[0] if own else None), end


def change(lines, table, key, old, new):
    """Puts a value for the one that must stand there; nothing (None) is a key that is absent."""
    at, end = place(lines, table, key)
    now = None if at is None else tomllib.loads(lines[at])[key]
    if (type(now), now) != (type(old), old):
        stands = "is missing" if now is None else f"is {written(now)}"
        wanted = "to be absent" if old is None else f"to be {written(old)}"
        raise Mismatch(f"[{table}] '{key}' {stands}, expected {wanted}")
    if now is None:
        while not lines[end - 1].strip():
            end -= 1
        at = end
    lines[at : at + (now is not None)] = [] if new is None else [f"{key} = {written(new)}"]


def make(kit, folder, edits):
    """Makes one site; gives its path."""
    name = edits.name.removesuffix(".edits.toml")
    target = folder / name
    # What an older description or source gave must not be played for this one's.
    shutil.rmtree(target, ignore_errors=True)
    try:
        text = tomllib.loads(edits.read_text())
        if unknown := set(text) - {"source", "change", "add", "drop", "more"}:
            raise Mismatch(f"unknown key '{sorted(unknown)[0]}' in {edits.name}")
        source = kit / text["source"]
        lines = source.read_text().split("\n")
        change(lines, "", "name", tomllib.loads("\n".join(lines)).get("name"), name)
        for table, key, old, new in text.get("change", []):
            change(lines, table, key, old, new)
        for table, key, new in text.get("add", []):
            change(lines, table, key, None, new)
        for table, key, old in text.get("drop", []):
            change(lines, table, key, old, None)
        site = "\n".join(lines).rstrip("\n") + "\n" + text.get("more", "")
        tomllib.loads(site)
    except KeyError as e:
        raise Mismatch(f"{edits.name} lacks {e}") from e
    except ValueError as e:
        raise Mismatch(str(e)) from e
    with tempfile.TemporaryDirectory(dir=folder, prefix=".making-") as making:
        making = pathlib.Path(making) / name
        making.mkdir()
        (making / f"{name}.toml").write_text(site)
        for beside in BESIDE:
            if (source.parent / beside).is_file():
                (making / beside).write_bytes((source.parent / beside).read_bytes())
        making.rename(target)
    return target / f"{name}.toml"


def main(kit, folder=pathlib.Path(__file__).parent):
    kit, folder = pathlib.Path(kit), pathlib.Path(folder)
    if not kit.is_dir():
        return f"sites: no kit at {kit}, so none can be made"
    wrong = None
    for edits in sorted(folder.glob("*.edits.toml")):
        try:
            print(make(kit, folder, edits))
        except (Mismatch, OSError) as e:
            wrong = wrong or f"sites: {edits.name}: {e}"
    return wrong


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
